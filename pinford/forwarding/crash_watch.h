// Runs the crash ledger of a box: decides which endpoints have ended, exchanges
// evidence with the peers, and logs each decision.
//
// An incarnation has ended if its entry is gone, if a newer one is listed, if a
// probe of this box found the runner down, or if the host of a plain service's
// endpoint refuses connections. The latter two count only if this box's own
// path was shown not to be the cause (path_watch.h). Notices of peers alone
// never suffice.

#ifndef PINFORD_FORWARDING_CRASH_WATCH_H_
#define PINFORD_FORWARDING_CRASH_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "pinford/forwarding/crash_ledger.h"
#include "pinford/forwarding/endpoint_directory.h"
#include "pinford/forwarding/forwarder.h"
#include "pinford/gossip.h"
#include "pinford/metrics.h"

namespace pinford {

class CrashWatch {
 public:
  // All must outlive the object.
  struct Context {
    EventLoop* loop;
    Random* random;
    const Membership* membership;
    const EndpointDirectory* directory;
    const EndpointTable* table;
    Gossip* gossip;
    Metrics* metrics;
    ForwardContext* forward;
    Forwarder* forwarder;
  };

  CrashWatch(const Context& context, CrashLedger* ledger);

  // Call it often.
  void Tick();
  // Evidence of a peer, or from the store.
  void OnRecords(const std::vector<CrashRecord>& records);
  // A box has joined and lacks the records of suspects.
  void OnJoined(const std::string& box);
  std::vector<CrashRecord> Quarantined() const;
  bool IsCleared(const std::string& fingerprint) const {
    return ledger_->IsCleared(fingerprint);
  }

 private:
  bool HasEnded(const std::string& endpoint, uint64_t incarnation) const;
  // Whether the host of a plain service's endpoint refuses connections.
  bool WasRefused(const std::string& endpoint, uint64_t incarnation) const;
  bool IsDown(const std::string& endpoint) const;
  // Queries endpoints of which it is not known whether they have ended.
  void CheckUnconfirmed(Time now);
  void CheckPlainEndpoint(Time now, const std::string& endpoint);
  void Announce(const std::vector<CrashRecord>& records, size_t peers);
  void LogChange(const CrashLedger::Change& change);

  Context context_;
  CrashLedger* ledger_;
  Time next_sample_{};
  // Plain endpoints that were queried recently, and the time of the query.
  std::map<std::string, Time> checked_;
  // Plain endpoints whose host refused a connection, to this box or to a peer.
  struct Refused {
    uint64_t incarnation = 0;
    bool by_peer = false;
  };
  std::map<std::string, Refused> refused_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_CRASH_WATCH_H_
