#include "pinford/rate_limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "util/enum_names.h"

namespace pinford {

// Higher limits are cut to this; no endpoint is sent as much.
static constexpr double kMaxPerSecond = 1e6;

static constexpr EnumName<RateLimits::Change> kChangeNames[] = {
    {RateLimits::Change::kNone, "none"},
    {RateLimits::Change::kBegan, "began"},
    {RateLimits::Change::kChanged, "changed"},
    {RateLimits::Change::kEnded, "ended"},
};

std::string_view RateLimitChangeName(RateLimits::Change change) {
  return NameIn(kChangeNames, change);
}

RateLimitNotice ParseRateLimit(std::string_view text, int count) {
  using Kind = RateLimitNotice::Kind;
  if (count == 0) return {Kind::kAbsent, 0};
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(text.data(), end, value);
  if (count > 1 || text.empty() || p != end) return {Kind::kUnreadable, 0};
  if (ec == std::errc::result_out_of_range) return {Kind::kUnreadable, 0};
  // from_chars accepts "inf" and "nan".
  if (!std::isfinite(value) || value < 0) return {Kind::kUnreadable, 0};
  return {Kind::kNamed, std::min(value, kMaxPerSecond)};
}

RateLimits::Limit* RateLimits::EntryFor(const std::string& endpoint,
                                        uint64_t incarnation, bool add) {
  const auto it = limits_.find(endpoint);
  if (it != limits_.end() && it->second.incarnation == incarnation)
    return &it->second;
  const bool older =
      it != limits_.end() && incarnation < it->second.incarnation;
  const bool full = it == limits_.end() && limits_.size() >= kMaxEndpoints;
  if (!add || older || full) return nullptr;
  Limit& limit = limits_[endpoint];
  limit = Limit();
  limit.incarnation = incarnation;
  return &limit;
}

static RateLimits::Change ChangeOf(const RateLimits::Limit& before,
                                   const RateLimits::Limit& after) {
  using Change = RateLimits::Change;
  if (!before.in_force() && !after.in_force()) return Change::kNone;
  if (!before.in_force()) return Change::kBegan;
  if (!after.in_force()) return Change::kEnded;
  return before.per_second == after.per_second ? Change::kNone
                                               : Change::kChanged;
}

RateLimits::Change RateLimits::OnResponse(Time now, const std::string& endpoint,
                                          uint64_t incarnation, Time sent,
                                          const RateLimitNotice& notice) {
  using Kind = RateLimitNotice::Kind;
  const bool named = notice.kind == Kind::kNamed;
  if (!named && notice.kind != Kind::kAbsent) return Change::kNone;
  Limit* limit = EntryFor(endpoint, incarnation, named);
  if (limit == nullptr) return Change::kNone;
  const Limit before = *limit;
  if (named) {
    limit->named = now;
    limit->per_second = std::max(notice.per_second, kMinPerSecond);
  } else {
    limit->unnamed = std::max(limit->unnamed, sent);
  }
  return ChangeOf(before, *limit);
}

RateLimits::Change RateLimits::OnPeerLimit(Time now, const NamedLimit& told) {
  const bool named = told.named_ms_ago != NamedLimit::kNever;
  if (!std::isfinite(told.per_second)) return Change::kNone;
  Limit* limit = EntryFor(told.endpoint, told.incarnation, named);
  if (limit == nullptr) return Change::kNone;
  const Limit before = *limit;
  const auto is_later = [](Time told_time, Time known) {
    return known == Time::min() || told_time > known + kMaxDelay;
  };
  const Time named_at = now - milliseconds(told.named_ms_ago);
  if (named && is_later(named_at, limit->named)) {
    limit->named = named_at;
    limit->per_second =
        std::clamp(told.per_second, kMinPerSecond, kMaxPerSecond);
  }
  const Time unnamed_at = now - milliseconds(told.unnamed_ms_ago);
  const bool unnamed = told.unnamed_ms_ago != NamedLimit::kNever;
  if (unnamed && is_later(unnamed_at, limit->unnamed))
    limit->unnamed = unnamed_at;
  return ChangeOf(before, *limit);
}

void RateLimits::Expire(Time now) {
  std::erase_if(limits_, [now](const auto& entry) {
    return now - entry.second.named > kMaxAge;
  });
}

const RateLimits::Limit* RateLimits::Find(const std::string& endpoint) const {
  // The usual case; this is called for each endpoint at each choice.
  if (limits_.empty()) return nullptr;
  const auto it = limits_.find(endpoint);
  const bool in_force = it != limits_.end() && it->second.in_force();
  return in_force ? &it->second : nullptr;
}

static uint32_t AgeMs(Time now, Time t) {
  if (t == Time::min()) return NamedLimit::kNever;
  const int64_t ms = std::max<int64_t>(0, ToMillis(now - t));
  return static_cast<uint32_t>(std::min<int64_t>(ms, NamedLimit::kNever - 1));
}

std::optional<NamedLimit> RateLimits::Describe(
    Time now, const std::string& endpoint) const {
  const auto it = limits_.find(endpoint);
  if (it == limits_.end()) return std::nullopt;
  const Limit& limit = it->second;
  return NamedLimit{endpoint, limit.incarnation, limit.per_second,
                    AgeMs(now, limit.named), AgeMs(now, limit.unnamed)};
}

size_t RateLimits::CountInForce() const {
  return std::count_if(limits_.begin(), limits_.end(), [](const auto& entry) {
    return entry.second.in_force();
  });
}

}  // namespace pinford
