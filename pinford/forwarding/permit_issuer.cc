#include "pinford/forwarding/permit_issuer.h"

#include <algorithm>

namespace pinford {

// A bucket that has accrued a permit for the time told may lack this much.
static constexpr double kRoundingError = 1e-6;
// Buckets that were not asked for this long are full, and are dropped.
static constexpr seconds kMaxIdleTime{60};

PermitIssuer::Bucket* PermitIssuer::BucketFor(Time now, const Ask& ask) {
  std::erase_if(buckets_, [now](const auto& entry) {
    return now - entry.second.updated > kMaxIdleTime;
  });
  const auto [it, added] = buckets_.try_emplace(ask.endpoint);
  Bucket* bucket = &it->second;
  if (added || bucket->incarnation != ask.incarnation) {
    *bucket = Bucket();
    bucket->incarnation = ask.incarnation;
    bucket->updated = now;
  }
  std::erase_if(bucket->askers,
                [now](const auto& asker) { return asker.second.until <= now; });
  bucket->askers[ask.from] = {now + options_.asker_window, ask.count};
  return bucket;
}

Duration PermitIssuer::AskInterval(const Bucket& bucket, int count) const {
  double sum = 0;
  for (const auto& [from, asker] : bucket.askers) sum += asker.count;
  return FromSeconds(sum / (count * options_.max_asks_per_second));
}

PermitIssuer::Issued PermitIssuer::Issue(Time now, const Ask& ask,
                                         double per_second) {
  Bucket* bucket = BucketFor(now, ask);
  const double capacity = 1 + options_.burst_seconds * per_second;
  const double accrued = ToSeconds(now - bucket->updated) * per_second;
  bucket->level = std::min(capacity, bucket->level + accrued);
  bucket->updated = now;
  const double reserved = ask.permit_class == PermitClass::kOrdinary
                              ? options_.reserved_seconds * per_second
                              : 0;
  const double available = std::max(0.0, bucket->level - reserved);
  Issued issued;
  issued.count =
      std::min(ask.count, static_cast<int>(available + kRoundingError));
  bucket->level -= issued.count;
  if (issued.count == ask.count) return issued;
  const double lacking = 1 + reserved - bucket->level;
  issued.wait = std::max(FromSeconds(std::max(0.0, lacking / per_second)),
                         AskInterval(*bucket, ask.count));
  bucket->askers[ask.from].until += issued.wait;
  return issued;
}

}  // namespace pinford
