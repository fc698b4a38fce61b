// Request rates that endpoints named as their limits.
//
// An endpoint in need names in its responses how many requests per second it
// takes from all boxes together, and stops naming it when the need is over.
// Responses arrive out of order, and a box that sends nothing to the endpoint
// hears of it from peers only. So for each endpoint two times are kept: when
// the limit was last named, which is the arrival of the latest response that
// names it, and since when it has not been, which is when the latest request
// was sent whose response does not name it. The limit is in force while the
// first is later: a response that may have been made before the last one that
// named the limit does not end it.
//
// Both times are maxima, so it does not matter in which order a box learns of
// them, nor how often. A peer's times arrive as ages. Each hop makes them
// appear later than they are, by the delay of the message, so a peer's time
// counts only if it exceeds the known one by more than such a delay.

#ifndef PINFORD_RATE_LIMITS_H_
#define PINFORD_RATE_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "util/clock.h"

namespace pinford {

// What a response says of its endpoint's rate limit.
struct RateLimitNotice {
  enum class Kind {
    kAbsent,      // names none
    kNamed,       // names `per_second`
    kUnreadable,  // names something that is no rate, and so says nothing
    kUnknown,     // may come from another endpoint, and so says nothing
  };
  Kind kind = Kind::kAbsent;
  double per_second = 0;
};

// Parses a decimal number of requests per second, 0 included. `count` is how
// many such headers the response has.
RateLimitNotice ParseRateLimit(std::string_view text, int count);

// What a box knows of an endpoint's limit, as told to peers. Ages are at the
// time of sending.
struct NamedLimit {
  static constexpr uint32_t kNever = UINT32_MAX;

  std::string endpoint;
  uint64_t incarnation = 0;
  double per_second = 0;
  uint32_t named_ms_ago = kNever;
  uint32_t unnamed_ms_ago = kNever;
};

class RateLimits {
 public:
  // Peers' times that are later than the known ones by less than this are the
  // same times, delayed.
  static constexpr Duration kMaxDelay = milliseconds(100);
  // A limit that nobody has named for so long is dropped. Endpoints with a
  // limit of 0 are sent a request each 10 s, which confirms it.
  static constexpr Duration kMaxAge = seconds(60);
  // A limit of 0, or close to it, permits this rate: without any request a box
  // would never learn that the limit has ended.
  static constexpr double kMinPerSecond = 0.1;
  // Bounds the memory used for endpoints that a box does not know.
  static constexpr size_t kMaxEndpoints = 4096;

  enum class Change { kNone, kBegan, kChanged, kEnded };

  struct Limit {
    uint64_t incarnation = 0;
    double per_second = 0;  // at least kMinPerSecond
    Time named = Time::min();
    Time unnamed = Time::min();

    bool in_force() const { return named > unnamed; }
  };

  // A response of the endpoint that arrives now, to a request that was sent at
  // `sent`.
  Change OnResponse(Time now, const std::string& endpoint, uint64_t incarnation,
                    Time sent, const RateLimitNotice& notice);
  // What a peer knows.
  Change OnPeerLimit(Time now, const NamedLimit& limit);
  void Forget(const std::string& endpoint) { limits_.erase(endpoint); }
  // Drops limits that are too old. Call it at times.
  void Expire(Time now);

  // The limit in force; nullptr if there is none.
  const Limit* Find(const std::string& endpoint) const;
  // For peers. nullopt if nothing is known.
  std::optional<NamedLimit> Describe(Time now,
                                     const std::string& endpoint) const;
  // Those in force and those that have ended, by endpoint.
  const std::map<std::string, Limit>& limits() const { return limits_; }
  size_t CountInForce() const;

 private:
  // Returns the entry of that incarnation. nullptr if a later one is known, or
  // if there is no entry and none is to be added.
  Limit* EntryFor(const std::string& endpoint, uint64_t incarnation, bool add);

  std::map<std::string, Limit> limits_;
};

std::string_view RateLimitChangeName(RateLimits::Change change);

}  // namespace pinford

#endif  // PINFORD_RATE_LIMITS_H_
