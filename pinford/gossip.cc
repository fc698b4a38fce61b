#include "pinford/gossip.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pinford {

// A probe asks for the timeline of a request that does not exist, which every
// box answers with nothing.
static constexpr char kProbe[] = "probe";
static constexpr char kProbeOfNamed[] = "probe-named";

Gossip::Gossip(EventLoop* loop, Membership* membership,
               const std::string& peer_key, Handlers handlers)
    : loop_(loop),
      membership_(membership),
      handlers_(std::move(handlers)),
      link_(loop, PeerCodec(peer_key),
            {[this](const Digest& d) { OnDigest(d); },
             [this](const FailureNotice& n) { OnFailureNotice(n); },
             [this](const FetchRequest& r) { return OnFetch(r); },
             [this](const RetryRequest& a) { OnRetryRequest(a); },
             [this](const RetryLoan& l) {
               if (handlers_.on_retry_loan) handlers_.on_retry_loan(l);
             },
             [this](const CrashNotice& n) {
               if (handlers_.on_crash_notice) handlers_.on_crash_notice(n);
             },
             [this](const MissingNotice& n) {
               if (handlers_.on_missing_notice) handlers_.on_missing_notice(n);
             },
             [this](const PermitRequest& r) { OnPermitRequest(r); },
             handlers_.on_permit_grant, handlers_.on_limit_notice,
             handlers_.on_relay_open}),
      watch_(membership, MemberWatch::Options(), SeededRandom()),
      announce_budget_(
          membership->options().bytes_per_second,
          membership->options().bytes_per_second * kAnnounceBurstSeconds) {}

void Gossip::Start() { Send(); }

void Gossip::Send() {
  handlers_.refresh();
  auto [datagrams, next] = membership_->Tick(
      loop_->now(), [this](const Digest& d) { return link_.SizeOf(d); });
  SendAll(std::move(datagrams));
  loop_->After(next, [this] { Send(); });
}

void Gossip::SendAll(std::vector<Membership::Datagram> datagrams) {
  const HybridTime time = handlers_.time();
  for (Membership::Datagram& d : datagrams) {
    d.digest.time = time;
    link_.Send(d.to, d.digest);
  }
}

void Gossip::Announce() {
  announcements_left_ = kAnnouncements;
  const Duration wait = announce_budget_.WaitTime(loop_->now());
  ScheduleAnnouncement(std::max<Duration>(wait, kAnnounceBatchWindow));
}

void Gossip::ScheduleAnnouncement(Duration delay) {
  if (announce_timer_ != 0) loop_->Cancel(announce_timer_);
  announce_timer_ = loop_->After(delay, [this] {
    announce_timer_ = 0;
    SendAnnouncement();
  });
}

void Gossip::SendAnnouncement() {
  handlers_.refresh();
  const Time now = loop_->now();
  const std::vector<Membership::Datagram> datagrams =
      membership_->Announce(now);
  if (datagrams.empty()) return;
  announce_budget_.Take(now,
                        link_.SizeOf(datagrams[0].digest) * datagrams.size());
  SendAll(datagrams);
  if (--announcements_left_ <= 0) return;
  ScheduleAnnouncement(std::max<Duration>(announce_budget_.WaitTime(now),
                                          Membership::kAnnounceRepeat));
}

void Gossip::AnnounceTo(const std::vector<std::string>& addresses) {
  handlers_.refresh();
  SendAll(membership_->AnnounceTo(addresses));
}

void Gossip::SendNotice(const FailureNotice& notice, size_t peers) {
  SendToRandom(notice, peers);
}

void Gossip::SendNotice(const CrashNotice& notice, size_t peers) {
  SendToRandom(notice, peers);
}

void Gossip::SendNotice(const MissingNotice& notice, size_t local,
                        size_t remote) {
  SendToHalls(notice, local, remote);
}

void Gossip::SendNotice(const LimitNotice& notice, size_t local,
                        size_t remote) {
  SendToHalls(notice, local, remote);
}

template <typename Notice>
void Gossip::SendToHalls(const Notice& notice, size_t local, size_t remote) {
  const Time now = loop_->now();
  for (const std::string& to : membership_->RandomLocal(now, local)) {
    link_.Send(to, notice);
  }
  for (const std::string& to : membership_->RandomRemote(now, remote)) {
    link_.Send(to, notice);
  }
}

template <typename Notice>
void Gossip::SendToRandom(const Notice& notice, size_t peers) {
  for (const std::string& to : membership_->RandomLive(loop_->now(), peers)) {
    link_.Send(to, notice);
  }
}

void Gossip::SendCrashRecords(const std::vector<CrashRecord>& records,
                              size_t collectors) {
  std::map<std::string, CrashNotice> notices;  // by address
  for (const CrashRecord& record : records) {
    for (const std::string& to : membership_->RendezvousLive(
             loop_->now(), record.fingerprint, collectors)) {
      CrashNotice& notice = notices[to];
      notice.records.push_back(record);
      if (notice.records.size() < kMaxCrashRecords) continue;
      link_.Send(to, notice);
      notices.erase(to);
    }
  }
  for (const auto& [to, notice] : notices) link_.Send(to, notice);
}

bool Gossip::IsFirstCollector(const std::string& fingerprint) const {
  return membership_->RendezvousLive(loop_->now(), fingerprint, 1).empty();
}

void Gossip::SendRetryRequests(std::vector<RetryRequest> requests) {
  const std::vector<std::string> peers =
      membership_->RandomLive(loop_->now(), requests.size());
  for (size_t i = 0; i < peers.size(); i++) {
    requests[i].from = membership_->self().address;
    link_.Send(peers[i], requests[i]);
  }
}

void Gossip::OnRetryRequest(const RetryRequest& request) {
  if (!handlers_.on_retry_request) return;
  const std::optional<RetryLoan> loan = handlers_.on_retry_request(request);
  if (loan) link_.Send(request.from, *loan);
}

void Gossip::OnPermitRequest(const PermitRequest& request) {
  if (!handlers_.on_permit_request) return;
  link_.Send(request.from, handlers_.on_permit_request(request));
}

void Gossip::Tick() {
  for (const std::string& lost : membership_->Expire(loop_->now())) {
    handlers_.on_member(lost, MemberChange::kLost);
  }
  SyncMembers();
  WatchMembers();
}

void Gossip::WatchMembers() {
  for (const MemberWatch::Target& target : watch_.Due(loop_->now())) {
    FetchRequest probe;
    probe.kind = FetchKind::kTimeline;
    probe.request = target.named ? kProbeOfNamed : kProbe;
    link_.Fetch(target.address, probe,
                [this, name = target.name](const auto& reply) {
                  watch_.OnProbe(loop_->now(), name, reply.has_value());
                });
  }
  const std::vector<std::string> lost = watch_.TakeLost();
  for (const std::string& name : lost) {
    if (membership_->Drop(name)) handlers_.on_member(name, MemberChange::kLost);
  }
  NotifyOfLost(lost, watch_.options().fanout);
  NotifyOfLost(watch_.DueReminder(loop_->now()), 1);
}

void Gossip::NotifyOfLost(const std::vector<std::string>& names, size_t peers) {
  if (names.empty()) return;
  FailureNotice notice;
  for (const std::string& name : names) {
    if (notice.endpoints.size() >= watch_.options().max_notified) break;
    notice.endpoints.push_back(std::string(kLostMemberPrefix) + name);
  }
  SendNotice(notice, peers);
}

void Gossip::OnFailureNotice(const FailureNotice& notice) {
  FailureNotice endpoints;
  std::vector<std::string> members;
  for (const std::string& name : notice.endpoints) {
    if (name.starts_with(kLostMemberPrefix)) {
      members.push_back(name.substr(kLostMemberPrefix.size()));
    } else {
      endpoints.endpoints.push_back(name);
    }
  }
  watch_.OnNotice(loop_->now(), members);
  const bool relevant = !endpoints.endpoints.empty();
  if (relevant && handlers_.on_failure_notice)
    handlers_.on_failure_notice(endpoints);
}

void Gossip::NotifyChanges(
    const std::vector<std::pair<std::string, MemberChange>>& changes) {
  for (const auto& [box, change] : changes) handlers_.on_member(box, change);
}

void Gossip::OnDigest(const Digest& digest) {
  NotifyChanges(membership_->OnDigest(loop_->now(), digest));
  SyncMembers();
  handlers_.on_digest(digest);
}

void Gossip::SyncMembers() {
  std::optional<std::string> from = membership_->SyncFrom(loop_->now());
  if (!from) return;
  FetchRequest request;
  request.kind = FetchKind::kMembers;
  request.request = EncodeMembersQuery(membership_->Query());
  link_.Fetch(*from, request, [this](std::optional<FetchReply> reply) {
    if (reply) NotifyChanges(membership_->OnRows(loop_->now(), reply->members));
  });
}

FetchReply Gossip::OnFetch(const FetchRequest& request) {
  if (request.kind == FetchKind::kTimeline && request.request == kProbeOfNamed)
    membership_->Refute(loop_->now());
  if (request.kind != FetchKind::kMembers) return handlers_.on_fetch(request);
  FetchReply reply;
  reply.kind = request.kind;
  // Boxes that send no query ask for all rows.
  const MembersQuery query =
      DecodeMembersQuery(request.request).value_or(MembersQuery());
  reply.members = membership_->RowsFor(loop_->now(), query);
  return reply;
}

}  // namespace pinford
