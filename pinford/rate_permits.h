// This box's permits to send requests to endpoints that named a rate limit.
//
// The limit holds over all boxes, so permits are issued by one box for each
// endpoint (forwarding/permit_exchange.h), and a request is sent to a limited
// endpoint only with a permit. Requests that need one make the box ask for it;
// this class counts what is needed, keeps what was issued, and knows when to
// ask again. Endpoints without a limit need no permit.
//
//     if (permits.MayBegin(now, "a", c)) ...    // "a" may be picked
//     permits.Want(now, "a", c);                // otherwise
//     expires = permits.Take(now, "a", c);      // it was picked
//     permits.Return(now, "a", c, *expires);    // and was not sent
//
// A permit is valid for a short time: its issuer counts it as used from the
// start, so one that is used much later would exceed the limit in that moment.

#ifndef PINFORD_RATE_PERMITS_H_
#define PINFORD_RATE_PERMITS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pinford/rate_limits.h"
#include "util/clock.h"

namespace pinford {

// Requests of kPriority can use all permits; a part of them is reserved for
// these.
enum class PermitClass : uint8_t {
  kOrdinary = 0,
  kPriority = 1,  // started streams and urgent requests
};
inline constexpr size_t kPermitClasses = 2;

class RatePermits {
 public:
  struct Options {
    // Longer than the pause between two requests at a box that has its share of
    // the callers of an endpoint with a limit of a few requests per second.
    Duration validity = milliseconds(500);
    // How long the requests that needed a permit count as demand.
    Duration demand_window = seconds(1);
    // A box asks for the permits that this demand uses up within so many
    // seconds, so that it asks a few times per second however high the limit
    // is.
    double supply_seconds = 0.2;
    // A request that has not said again for this long that it needs a permit
    // has been sent elsewhere or refused. Its permit would not be used.
    Duration max_want_age = milliseconds(20);
    int max_per_ask = 32;
  };

  explicit RatePermits(const Options& options) : options_(options) {}

  RateLimits* limits() { return &limits_; }
  const RateLimits& limits() const { return limits_; }
  // Called when permits are needed that can be asked for now.
  void set_on_wanted(std::function<void()> fn) { on_wanted_ = std::move(fn); }

  // Whether a request may be sent to the endpoint now.
  bool MayBegin(Time now, const std::string& endpoint, PermitClass c) const;
  // Takes a permit. Returns when it expires, Time::max() if the endpoint needs
  // none, or nullopt if there is none.
  std::optional<Time> Take(Time now, const std::string& endpoint,
                           PermitClass c);
  // Gives back a permit that was taken and not used.
  void Return(Time now, const std::string& endpoint, PermitClass c,
              Time expires);

  // A request needs a permit of this endpoint. One that waits for it says so
  // again, `repeated`, within max_want_age.
  void Want(Time now, const std::string& endpoint, PermitClass c,
            bool repeated);
  // The time until a permit may be there: 0 if one is, or is being asked for.
  Duration WaitFor(Time now, const std::string& endpoint, PermitClass c) const;

  struct Need {
    std::string endpoint;
    PermitClass permit_class = PermitClass::kOrdinary;
    int count = 0;
  };
  // The permits to ask for now. Each must be followed by OnIssued() or
  // OnUnanswered().
  std::vector<Need> TakeNeeds(Time now);
  // `count` permits were issued for an ask that was sent at `asked`. More can
  // be asked for after `wait`.
  void OnIssued(Time now, const std::string& endpoint, PermitClass c,
                Time asked, int count, Duration wait);
  // The ask got no answer; it can be repeated now.
  void OnUnanswered(const std::string& endpoint, PermitClass c);

  // Drops what belongs to endpoints without a limit. Call it at times.
  void Prune(Time now);
  void Forget(const std::string& endpoint);

  int64_t unused() const { return unused_; }  // permits that expired

 private:
  struct Supply {
    std::deque<Time> permits;   // when they expire, the first one first
    std::deque<Time> demand;    // of requests, within the demand window
    Time wanted = Time::min();  // when a request last needed one
    bool asking = false;
    Time not_before{};  // the next ask
  };
  // By PermitClass.
  using Supplies = std::array<Supply, kPermitClasses>;

  static size_t IndexOf(PermitClass c) { return static_cast<size_t>(c); }
  static bool HasPermit(Time now, const Supply& supply);
  void DropExpired(Time now, Supply* supply);
  // The supplies from which a request of that class may take, its own first.
  static std::vector<size_t> SuppliesFor(PermitClass c);

  Options options_;
  RateLimits limits_;
  std::map<std::string, Supplies> supplies_;  // by endpoint
  std::function<void()> on_wanted_ = [] {};
  int64_t unused_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_RATE_PERMITS_H_
