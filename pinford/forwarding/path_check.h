// One comparison of a box's path to endpoints with the endpoints themselves.
//
// The box tries endpoints directly at the same moment: some that have failed,
// and another one of their service, or of another service if there is none.
// Those that it does not reach soon are tried by peers as well. What only peers
// reach has lost its path; what nobody reaches is at fault itself.
//
// No I/O, no clock: the owner passes in how long the check has lasted.

#ifndef PINFORD_FORWARDING_PATH_CHECK_H_
#define PINFORD_FORWARDING_PATH_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "util/clock.h"

namespace pinford {

class PathCheck {
 public:
  struct Options {
    // Peers are asked about an endpoint if no direct connection is established
    // by then. One takes 2 ms within a hall, some tens of ms between regions.
    Duration direct_head_start = milliseconds(20);
    // A relayed connection is established after the direct ones were tried for
    // this long: the path counts as lost, although these have not failed yet.
    // The relayed one takes longer where both paths work.
    Duration direct_patience = milliseconds(25);
    // Peers are asked again, others if possible, if those that were asked could
    // not tell.
    int max_peer_rounds = 3;
    // The end of a check without a result.
    Duration timeout = milliseconds(250);
  };
  enum class PeerResult {
    kPending,     // a peer is trying
    kUnknown,     // no peer has tried
    kReached,     // a peer has a connection to the endpoint
    kNotReached,  // a peer whose path works could not connect either
  };
  enum class Verdict {
    kUnknown,
    kWorks,
    kAtFault,   // nobody reaches it
    kPathLost,  // peers reach it
  };

  // `control`: an endpoint of another service is tried, too.
  // `ask_peers`: whether peers may be asked.
  PathCheck(const Options& options, const std::vector<std::string>& endpoints,
            bool control, bool ask_peers);

  void OnDirect(const std::string& endpoint, bool established);
  void OnControl(bool established);
  void OnPeerAsked(const std::string& endpoint);
  void OnPeer(const std::string& endpoint, PeerResult result);

  // Endpoints about which peers are to be asked now; starts a round.
  std::vector<std::string> NextPeerRound(Duration took);
  // Whether something was reached directly, so that the path works in part.
  bool ReachesSome() const;
  // Whether the path to all of the endpoints is lost, as far as this shows.
  bool LostAll(Duration took) const;
  bool Done(Duration took) const;
  // Requires Done().
  Verdict Of(const std::string& endpoint) const;
  std::vector<std::string> endpoints() const;

 private:
  enum class Result { kPending, kEstablished, kFailed };
  struct Endpoint {
    Result direct = Result::kPending;
    PeerResult peer = PeerResult::kUnknown;
  };

  bool MayAskPeers() const;

  const Options options_;
  std::map<std::string, Endpoint> endpoints_;
  Result control_;
  bool ask_peers_;
  int peer_rounds_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_PATH_CHECK_H_
