// Decides whether this box's own path to the endpoints of a service works.
//
// What a box sees of an endpoint depends on the endpoint and on the path to it.
// Only a comparison tells them apart: with other endpoints at the same moment,
// and with what a peer sees of the same endpoints. So a failure leads to a
// check: direct connections to the endpoints that failed and to another one,
// and, if none of them is established soon, connections to the same endpoints
// through peers. The path is lost if only the latter succeed. Where
// peers fail too, the endpoints are at fault, and the failures count as theirs.
//
// While the path is lost, single direct connections are tried; several in a row
// must succeed, since on a lossy path each of them sometimes does.
//
// Only new connections count. On some broken paths, those that are open go on.
//
// No I/O: the owner carries out the checks and reports their results. Nothing
// here grows with the number of boxes; the state of a service grows with its
// endpoints that fail.

#ifndef PINFORD_FORWARDING_PATH_WATCH_H_
#define PINFORD_FORWARDING_PATH_WATCH_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

enum class PathState {
  kDirect,  // endpoints are reached directly
  kLost,    // they are reached through peers only
};
std::string_view PathStateName(PathState state);

class PathWatch {
 public:
  struct Options {
    // A failure leads to a check within this time. An endpoint that has not
    // failed for as long is checked again when it next fails.
    Duration failure_window = seconds(1);
    // Endpoints that are tried directly in one check.
    size_t max_checked = 3;
    // Peers are asked if no direct connection is established by then. A
    // connection takes 2 ms within a hall, some tens of ms between regions.
    Duration direct_head_start = milliseconds(20);
    // A relayed connection is established after the direct ones were tried for
    // this long: the path counts as lost, although these have not failed yet.
    // The relayed one takes longer where both paths work.
    Duration direct_patience = milliseconds(25);
    // Peers are asked again, others if possible, if those that were asked could
    // not tell.
    int max_peer_rounds = 3;
    // The end of a check without a result.
    Duration check_timeout = milliseconds(250);
    // Between the starts of two checks of a service.
    Duration check_interval = milliseconds(300);
    // While the path is lost: between direct connections, and how many must
    // succeed in a row.
    Duration retry_interval = milliseconds(250);
    int successes_to_return = 4;
  };

  // `own_delay` returns the longest time since then for which this process was
  // held up.
  PathWatch(const Options& options, Random random,
            std::function<Duration(Time since)> own_delay)
      : options_(options), random_(random), own_delay_(std::move(own_delay)) {}

  // --- what this box observes of direct connections to endpoints

  void OnConnected(Time now, const std::string& service,
                   const std::string& endpoint);
  // A connection was refused, or is not established after a time that it does
  // not usually take; or a probe brought no report.
  void OnFailed(Time now, const std::string& service,
                const std::string& endpoint);
  // The endpoint has gone, or has restarted.
  void Forget(const std::string& service, const std::string& endpoint);

  // --- checks

  struct Check {
    std::string service;
    std::vector<std::string> endpoints;  // to be tried
    bool through_peers = false;          // rather than directly
    // An endpoint of another service is to be tried, too, since this one has
    // nothing to compare with.
    bool control = false;
  };
  // The checks to carry out now. `usable` returns the endpoints of a service
  // that may be tried. Call it often.
  template <typename Usable>
  std::vector<Check> DueChecks(Time now, Usable usable) {
    std::vector<Check> due;
    for (auto& [name, service] : services_) {
      if (service.checking) {
        AddPeerCheck(now, name, &service, &due);
      } else if (now >= service.next_check && NeedsCheck(now, service)) {
        StartCheck(now, name, usable(name), &service, &due);
      }
    }
    return due;
  }
  // Ends checks that have lasted too long. Call it often.
  void Tick(Time now);
  // A connection that a check asked for was established, or not.
  void OnDirectResult(Time now, const std::string& service,
                      const std::string& endpoint, bool established);
  enum class PeerResult {
    kPending,     // a peer was asked
    kUnknown,     // no peer has tried
    kReached,     // the peer has a connection to the endpoint
    kNotReached,  // the peer could not connect either
  };
  // The same of an endpoint of another service. It shows that this box's path
  // works in general.
  void OnControlResult(Time now, const std::string& service, bool established);
  // A peer is being asked for the endpoint, as a check says.
  void OnPeerAsked(const std::string& service, const std::string& endpoint);
  void OnPeerResult(Time now, const std::string& service,
                    const std::string& endpoint, PeerResult result);

  struct Change {
    std::string service;
    PathState now = PathState::kDirect;
    Time since{};       // kLost: the first failure; kDirect: when it was lost
    size_t failed = 0;  // endpoints whose direct connections failed
  };
  // The changes since the last call.
  std::vector<Change> TakeChanges();

  // --- beliefs

  PathState StateOf(const std::string& service) const;
  // Whether a change may be near: endpoints have failed, and it is not known
  // yet whether the path is at fault.
  bool InDoubt(Time now, const std::string& service) const;
  // Whether a check has shown that the endpoint itself does not work: at the
  // same moment another one of its service was reached, or peers did not reach
  // it either, or one of another service was reached and no peer reaches it.
  bool IsAtFault(const std::string& service, const std::string& endpoint) const;
  size_t lost() const;

 private:
  struct Failure {
    Time first{};
    Time last{};
    bool at_fault = false;  // see IsAtFault()
  };
  enum class Result { kPending, kEstablished, kFailed };
  struct Service {
    PathState state = PathState::kDirect;
    Time lost_at{};
    std::map<std::string, Failure> failures;  // by endpoint
    Time last_connected{};
    int successes = 0;  // direct connections in a row, while lost
    Time next_check{};
    // The check in progress.
    bool checking = false;
    Time check_started{};
    std::map<std::string, Result> direct;          // by endpoint
    std::map<std::string, PeerResult> from_peers;  // by endpoint
    Result control = Result::kFailed;
    int peer_rounds = 0;
  };

  bool NeedsCheck(Time now, const Service& service) const;
  void StartCheck(Time now, const std::string& name,
                  const std::vector<std::string>& usable, Service* service,
                  std::vector<Check>* due);
  void AddPeerCheck(Time now, const std::string& name, Service* service,
                    std::vector<Check>* due);
  // Endpoints that have failed since the last connection to any, and may not be
  // at fault.
  std::vector<std::string> Suspects(Time now, const Service& service) const;
  void Judge(Time now, const std::string& name, Service* service);
  // While the path is lost.
  void JudgeReturn(Time now, const std::string& name, Service* service);
  void EndCheck(Time now, Service* service);
  void SetState(Time now, const std::string& name, PathState state,
                Service* service);

  Options options_;
  Random random_;
  std::function<Duration(Time)> own_delay_;
  std::map<std::string, Service> services_;
  std::vector<Change> changes_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PATH_WATCH_H_
