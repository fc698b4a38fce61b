// Keeps a box in touch with its peers: sends its digests when they are due,
// takes theirs in, fetches rows of members that it does not know, and says
// who joined, leaves or was lost.
//
// What is told and believed is Membership's; the bytes are PeerLink's.

#ifndef PINFORD_GOSSIP_H_
#define PINFORD_GOSSIP_H_

#include <functional>
#include <string>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/membership.h"
#include "pinford/peer_link.h"

namespace pinford {

class Gossip {
 public:
  struct Handlers {
    // Before this box's state is sent: bring it up to date.
    std::function<void()> refresh;
    // The time that a digest is stamped with.
    std::function<HybridTime()> time;
    // After membership has taken a digest in.
    std::function<void(const Digest&)> on_digest;
    // A peer says that runners are down; a box that drives none passes it over.
    std::function<void(const FailureNotice&)> on_failure_notice;
    // A peer asks for retries: what it is lent, if anything.
    std::function<std::optional<RetryLoan>(const RetryRequest&)>
        on_retry_request;
    std::function<void(const RetryLoan&)> on_retry_loan;
    // Of everything but the members, which Gossip answers itself.
    std::function<FetchReply(const FetchRequest&)> on_fetch;
    std::function<void(const std::string& box, MemberChange)> on_member;
  };

  Gossip(EventLoop* loop, Membership* membership, const std::string& peer_key,
         Handlers handlers);

  // False, with errno set, if the address cannot be listened on.
  bool Listen(const Address& address) { return link_.Listen(address); }
  void Start();
  // Tells the peers at once what cannot wait.
  void Announce();
  // Tells `peers` live members, any of them.
  void SendFailureNotice(const FailureNotice& note, size_t peers);
  // Sends each of these to another live member, any of them.
  void SendRetryRequests(std::vector<RetryRequest> asks);
  // Notices members that were lost, and asks for those that are not known.
  // Call it often.
  void Tick();

  PeerLink* link() { return &link_; }

 private:
  void Send();
  void SendAll(std::vector<Membership::Datagram> datagrams);
  void OnDigest(const Digest& digest);
  FetchReply OnFetch(const FetchRequest& request);
  void OnRetryRequest(const RetryRequest& ask);
  void SyncMembers();
  void Note(const std::vector<std::pair<std::string, MemberChange>>& changes);

  EventLoop* loop_;
  Membership* membership_;
  Handlers handlers_;
  PeerLink link_;
};

}  // namespace pinford

#endif  // PINFORD_GOSSIP_H_
