// Issues permits to send requests to rate-limited endpoints: a token bucket for
// each endpoint.
//
// A bucket begins empty, since a box that issued permits for the endpoint
// before may have issued all that its bucket held. It holds little: what the
// boxes can send at once is added to the rate in any window.
//
// The last part of a bucket is reserved for PermitClass::kPriority. Boxes that
// get less than they asked for are told when to ask again, the sooner the more
// they need, so that the asks of all boxes together do not exceed a fixed rate,
// whatever their number.

#ifndef PINFORD_FORWARDING_PERMIT_ISSUER_H_
#define PINFORD_FORWARDING_PERMIT_ISSUER_H_

#include <cstdint>
#include <map>
#include <string>

#include "pinford/rate_permits.h"
#include "util/clock.h"

namespace pinford {

class PermitIssuer {
 public:
  struct Options {
    // What a bucket holds beyond one permit, in seconds of the rate: what
    // accumulates until boxes that were told to wait ask again.
    double burst_seconds = 0.4;
    // The part of it that is reserved, in seconds of the rate.
    double reserved_seconds = 0.1;
    // Asks that all boxes together send for an endpoint while its permits are
    // used up. At 130 bytes each, 2.6 KB/s.
    double max_asks_per_second = 20;
    // How long a box that may ask again is expected to do so.
    Duration asker_window = seconds(5);
  };

  explicit PermitIssuer(const Options& options) : options_(options) {}

  struct Ask {
    std::string endpoint;
    uint64_t incarnation = 0;
    std::string from;  // the box that asks
    PermitClass permit_class = PermitClass::kOrdinary;
    int count = 0;
  };
  struct Issued {
    int count = 0;
    Duration wait{};  // until the box may ask again
  };
  // `per_second`: the rate at which this box may issue for the endpoint; above
  // 0.
  Issued Issue(Time now, const Ask& ask, double per_second);
  void Forget(const std::string& endpoint) { buckets_.erase(endpoint); }

 private:
  struct Asker {
    Time until{};   // it may ask again some time before
    int count = 0;  // of permits, the last time
  };
  struct Bucket {
    uint64_t incarnation = 0;
    double level = 0;  // permits
    Time updated{};
    std::map<std::string, Asker> askers;
  };
  Bucket* BucketFor(Time now, const Ask& ask);
  // The time between two asks of a box that needs `count` permits.
  Duration AskInterval(const Bucket& bucket, int count) const;

  Options options_;
  std::map<std::string, Bucket> buckets_;  // by endpoint
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PERMIT_ISSUER_H_
