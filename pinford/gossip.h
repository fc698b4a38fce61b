// Exchanges membership state with the peers: sends this box's digests when they
// are due, applies the peers' digests, fetches the rows of unknown members, and
// reports members that joined, are leaving or were lost.
//
// Membership decides what is sent and believed; PeerLink encodes and transports
// it.

#ifndef PINFORD_GOSSIP_H_
#define PINFORD_GOSSIP_H_

#include <functional>
#include <string>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/member_watch.h"
#include "pinford/membership.h"
#include "pinford/peer_link.h"
#include "pinford/send_budget.h"

namespace pinford {

class Gossip {
 public:
  struct Handlers {
    // Called before this box's state is sent, to bring it up to date.
    std::function<void()> refresh;
    // Returns the timestamp of a digest.
    std::function<HybridTime()> time;
    // Called after membership has applied a digest.
    std::function<void(const Digest&)> on_digest;
    // A peer reports that runners are down. Boxes that use no runners ignore
    // it.
    std::function<void(const FailureNotice&)> on_failure_notice;
    // A peer asks for retries; returns what it is lent, if anything.
    std::function<std::optional<RetryLoan>(const RetryRequest&)>
        on_retry_request;
    std::function<void(const RetryLoan&)> on_retry_loan;
    // Evidence on requests that crash endpoints. Boxes that forward no requests
    // ignore it.
    std::function<void(const CrashNotice&)> on_crash_notice;
    // Entries that are missing from the store's list. Boxes that forward no
    // requests ignore it.
    std::function<void(const MissingNotice&)> on_missing_notice;
    // Messages on the rate limits of endpoints. Boxes that forward no requests
    // ignore them.
    std::function<PermitGrant(const PermitRequest&)> on_permit_request;
    std::function<void(const PermitGrant&)> on_permit_grant;
    std::function<void(const LimitNotice&)> on_limit_notice;
    // A peer asks to relay a connection. Boxes that relay none close it.
    std::function<void(int fd, const RelayOpen&)> on_relay_open;
    // Answers fetches other than for members, which Gossip answers itself.
    std::function<FetchReply(const FetchRequest&)> on_fetch;
    std::function<void(const std::string& box, MemberChange)> on_member;
  };

  Gossip(EventLoop* loop, Membership* membership, const std::string& peer_key,
         Handlers handlers);

  // Returns false, with errno set, if it cannot listen on the address.
  bool Listen(const Address& address) { return link_.Listen(address); }
  void Start();
  // Sends urgent state to a few random peers, as soon as the budget for
  // announcements allows, with all that became urgent until then.
  void Announce();
  // Sends it to the given addresses at once.
  void AnnounceTo(const std::vector<std::string>& addresses);
  // Sends `notice` to `peers` random live members.
  void SendNotice(const FailureNotice& notice, size_t peers);
  void SendNotice(const CrashNotice& notice, size_t peers);
  // Sends `notice` to `local` random live members of this box's hall and
  // `remote` of other halls.
  void SendNotice(const MissingNotice& notice, size_t local, size_t remote);
  void SendNotice(const LimitNotice& notice, size_t local, size_t remote);
  // Sends each record to the boxes that collect the evidence of its
  // fingerprint, `collectors` of them.
  void SendCrashRecords(const std::vector<CrashRecord>& records,
                        size_t collectors);
  // Whether this box is the first of those boxes.
  bool IsFirstCollector(const std::string& fingerprint) const;
  // Sends each of `requests` to a different random live member.
  void SendRetryRequests(std::vector<RetryRequest> requests);
  // Detects lost members and fetches unknown ones. Call it often.
  void Tick();

  PeerLink* link() { return &link_; }

 private:
  // Announcements are sent in addition to digests, at the same rate in the long
  // run, and a few seconds' worth of them at once.
  static constexpr double kAnnounceBurstSeconds = 5;
  // State that becomes urgent within this time goes out together: several
  // endpoints often leave at once.
  static constexpr milliseconds kAnnounceBatchWindow{3};

  void Send();
  // Each announcement is sent twice, to other peers.
  static constexpr int kAnnouncements = 2;
  void ScheduleAnnouncement(Duration delay);
  void SendAnnouncement();
  void SendAll(std::vector<Membership::Datagram> datagrams);
  template <typename Notice>
  void SendToRandom(const Notice& notice, size_t peers);
  template <typename Notice>
  void SendToHalls(const Notice& notice, size_t local, size_t remote);
  void OnDigest(const Digest& digest);
  void OnFailureNotice(const FailureNotice& notice);
  // Probes members, drops lost ones and notifies peers of them.
  void WatchMembers();
  void NotifyOfLost(const std::vector<std::string>& names, size_t peers);
  FetchReply OnFetch(const FetchRequest& request);
  void OnRetryRequest(const RetryRequest& request);
  void OnPermitRequest(const PermitRequest& request);
  void SyncMembers();
  void NotifyChanges(
      const std::vector<std::pair<std::string, MemberChange>>& changes);

  EventLoop* loop_;
  Membership* membership_;
  Handlers handlers_;
  PeerLink link_;
  MemberWatch watch_;
  SendBudget announce_budget_;
  int announcements_left_ = 0;
  TimerId announce_timer_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_GOSSIP_H_
