#include "pinford/gossip.h"

#include <map>

namespace pinford {

Gossip::Gossip(EventLoop* loop, Membership* membership,
               const std::string& peer_key, Handlers handlers)
    : loop_(loop),
      membership_(membership),
      handlers_(std::move(handlers)),
      link_(loop, PeerCodec(peer_key),
            {[this](const Digest& d) { OnDigest(d); },
             [this](const FailureNotice& n) {
               if (handlers_.on_failure_notice) handlers_.on_failure_notice(n);
             },
             [this](const FetchRequest& r) { return OnFetch(r); },
             [this](const RetryRequest& a) { OnRetryRequest(a); },
             [this](const RetryLoan& l) {
               if (handlers_.on_retry_loan) handlers_.on_retry_loan(l);
             },
             [this](const CrashNotice& n) {
               if (handlers_.on_crash_notice) handlers_.on_crash_notice(n);
             }}) {}

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
  handlers_.refresh();
  SendAll(membership_->Announce());
}

void Gossip::SendFailureNotice(const FailureNotice& notice, size_t peers) {
  for (const std::string& to : membership_->RandomLive(loop_->now(), peers)) {
    link_.Send(to, notice);
  }
}

void Gossip::SendCrashNotice(const CrashNotice& notice, size_t peers) {
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

void Gossip::Tick() {
  for (const std::string& lost : membership_->Expire(loop_->now())) {
    handlers_.on_member(lost, MemberChange::kLost);
  }
  SyncMembers();
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
  link_.Fetch(*from, request, [this](std::optional<FetchReply> reply) {
    if (reply) NotifyChanges(membership_->OnRows(loop_->now(), reply->members));
  });
}

FetchReply Gossip::OnFetch(const FetchRequest& request) {
  if (request.kind != FetchKind::kMembers) return handlers_.on_fetch(request);
  FetchReply reply;
  reply.kind = request.kind;
  reply.members = membership_->AllRows(loop_->now());
  return reply;
}

}  // namespace pinford
