// Knows to which endpoints this box's own path is lost.
//
// What a box sees of an endpoint depends on the endpoint and on the path to it.
// Only a comparison tells them apart, so a failure leads to a check
// (path_check.h). If it reaches none of the endpoints that it tries, and a peer
// does, the path to the whole service is lost; if it reaches some, the path to
// the others that peers reach.
//
// While a path is lost, single direct connections are tried; several in a row
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
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/path_check.h"
#include "util/clock.h"
#include "util/hash.h"

namespace pinford {

class PathWatch {
 public:
  struct Options {
    PathCheck::Options check;
    // A failure leads to a check within this time. An endpoint that has not
    // failed for as long is checked again when it next fails.
    Duration failure_window = seconds(1);
    // Endpoints that are tried directly in one check.
    size_t max_checked = 3;
    // Peers that are asked in one round.
    size_t peers_asked = 2;
    // Between the starts of two checks of a service.
    Duration check_interval = milliseconds(300);
    // While a path is lost: between direct connections, how long each may take,
    // and how many must succeed in a row.
    Duration retry_interval = milliseconds(250);
    Duration retry_timeout = milliseconds(240);
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
  // not usually take; or a probe brought no report. `for_peer`: it was tried
  // only because a peer had asked. Then no other peers are asked, so that the
  // question does not go from box to box.
  void OnFailed(Time now, const std::string& service,
                const std::string& endpoint, bool for_peer = false);
  // The endpoint has gone, or has restarted.
  void Forget(const std::string& service, const std::string& endpoint);

  // --- checks

  struct Task {
    enum class Kind {
      kDirect,   // try the endpoints directly
      kControl,  // try an endpoint of another service
      kPeers,    // ask peers to try the endpoints
    };
    Kind kind = Kind::kDirect;
    std::string service;
    std::vector<std::string> endpoints;
    size_t peers = 0;  // how many to ask
  };
  // What is to be tried now. `usable` returns some endpoints of a service that
  // may be tried. Call it often.
  template <typename Usable>
  std::vector<Task> DueTasks(Time now, Usable usable) {
    std::vector<Task> due;
    for (auto& [name, service] : services_) {
      Judge(now, name, &service);
      if (service.check) {
        AddPeerTask(now, name, &service, &due);
      } else if (NeedsCheck(now, service)) {
        StartCheck(now, name, usable(name), &service, &due);
      }
      if (NeedsRetry(now, service))
        StartRetry(now, name, usable(name), &service, &due);
    }
    return due;
  }
  // Results of what DueTasks asked for.
  void OnDirectResult(Time now, const std::string& service,
                      const std::string& endpoint, bool established);
  void OnControlResult(Time now, const std::string& service, bool established);
  void OnPeerAsked(const std::string& service, const std::string& endpoint);
  void OnPeerResult(Time now, const std::string& service,
                    const std::string& endpoint, PathCheck::PeerResult result);

  // --- beliefs

  struct Change {
    std::string service;
    bool lost = false;
    std::vector<std::string> endpoints;  // empty: all of the service
    Time since{};  // lost: the first failure; regained: when it was lost
  };
  // The changes since the last call.
  std::vector<Change> TakeChanges() { return std::exchange(changes_, {}); }

  // Whether the path to the endpoint, or to all of the service, is lost.
  bool IsLost(const std::string& service, const std::string& endpoint) const;
  bool IsServiceLost(const std::string& service) const;
  // Whether a path may turn out to be lost soon: endpoints of the service have
  // failed, and it is not known yet why.
  bool InDoubt(Time now, const std::string& service) const;
  // Whether a check has shown that the endpoint itself does not work.
  bool IsAtFault(const std::string& service, const std::string& endpoint) const;
  // Services to which a path is lost, in part or as a whole.
  size_t lost() const;

 private:
  struct Failure {
    Time first{};
    Time last{};
    bool for_peer = false;  // this box did not need the endpoint
    bool at_fault = false;  // see IsAtFault()
  };
  // Tries whether a lost path works again.
  struct Retry {
    std::string endpoint;  // being tried; "" for none
    Time started{};
    Time next{};
    int successes = 0;  // in a row
  };
  struct Service {
    std::map<std::string, Failure> failures;  // by endpoint
    Time last_connected{};
    std::optional<PathCheck> check;  // in progress
    Time check_started{};
    Time next_check{};
    bool all_lost = false;
    std::set<std::string> lost;  // single endpoints
    Time lost_at{};
    Retry retry;
    bool any_lost() const { return all_lost || !lost.empty(); }
  };

  Service* Find(const std::string& service);
  const Service* Find(const std::string& service) const;
  // Endpoints that have failed since the last connection to any, and may not be
  // at fault.
  std::vector<std::string> Suspects(Time now, const Service& service) const;
  bool NeedsCheck(Time now, const Service& service) const;
  void StartCheck(Time now, const std::string& name,
                  std::vector<std::string> usable, Service* service,
                  std::vector<Task>* due);
  void AddPeerTask(Time now, const std::string& name, Service* service,
                   std::vector<Task>* due);
  // Ends the check in progress if it has a result.
  void Judge(Time now, const std::string& name, Service* service);
  void ApplyVerdicts(Time now, const std::string& name, Service* service);
  void OnAllLost(Time now, const std::string& name, Service* service);
  bool NeedsRetry(Time now, const Service& service) const;
  void StartRetry(Time now, const std::string& name,
                  const std::vector<std::string>& usable, Service* service,
                  std::vector<Task>* due);
  void EndRetry(Time now, const std::string& name, bool established,
                Service* service);

  Options options_;
  Random random_;
  std::function<Duration(Time)> own_delay_;
  std::map<std::string, Service> services_;
  std::vector<Change> changes_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PATH_WATCH_H_
