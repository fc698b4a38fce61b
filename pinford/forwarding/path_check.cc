#include "pinford/forwarding/path_check.h"

#include <algorithm>

namespace pinford {

PathCheck::PathCheck(const Options& options,
                     const std::vector<std::string>& endpoints, bool control,
                     bool ask_peers)
    : options_(options),
      control_(control ? Result::kPending : Result::kFailed),
      ask_peers_(ask_peers) {
  for (const std::string& endpoint : endpoints) endpoints_[endpoint];
}

void PathCheck::OnDirect(const std::string& endpoint, bool established) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  it->second.direct = established ? Result::kEstablished : Result::kFailed;
}

void PathCheck::OnControl(bool established) {
  control_ = established ? Result::kEstablished : Result::kFailed;
}

void PathCheck::OnPeerAsked(const std::string& endpoint) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end() || it->second.peer != PeerResult::kUnknown) return;
  it->second.peer = PeerResult::kPending;
}

// One peer that reaches an endpoint outweighs others that do not, and these
// outweigh peers that could not tell.
void PathCheck::OnPeer(const std::string& endpoint, PeerResult result) {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return;
  it->second.peer =
      std::max(it->second.peer == PeerResult::kPending ? PeerResult::kUnknown
                                                       : it->second.peer,
               result, [](PeerResult a, PeerResult b) {
                 const auto rank = [](PeerResult r) {
                   return r == PeerResult::kReached      ? 2
                          : r == PeerResult::kNotReached ? 1
                                                         : 0;
                 };
                 return rank(a) < rank(b);
               });
}

bool PathCheck::MayAskPeers() const {
  return ask_peers_ && peer_rounds_ < options_.max_peer_rounds;
}

std::vector<std::string> PathCheck::NextPeerRound(Duration took) {
  std::vector<std::string> wanted;
  if (!MayAskPeers()) return wanted;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.peer == PeerResult::kPending) return {};
    const bool waiting = endpoint.direct == Result::kPending &&
                         took < options_.direct_head_start;
    const bool ask = endpoint.direct != Result::kEstablished && !waiting &&
                     endpoint.peer == PeerResult::kUnknown;
    if (ask) wanted.push_back(name);
  }
  if (!wanted.empty()) peer_rounds_++;
  return wanted;
}

bool PathCheck::ReachesSome() const {
  return control_ == Result::kEstablished ||
         std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& e) {
           return e.second.direct == Result::kEstablished;
         });
}

bool PathCheck::LostAll(Duration took) const {
  bool reached_by_peer = false;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.direct == Result::kEstablished) return false;
    const bool failed =
        endpoint.direct == Result::kFailed || took >= options_.direct_patience;
    if (failed && endpoint.peer == PeerResult::kReached) reached_by_peer = true;
  }
  return reached_by_peer;
}

bool PathCheck::Done(Duration took) const {
  if (took >= options_.timeout) return true;
  if (control_ == Result::kPending) return false;
  return std::all_of(endpoints_.begin(), endpoints_.end(), [this](auto& e) {
    const Endpoint& endpoint = e.second;
    if (endpoint.direct == Result::kEstablished) return true;
    if (endpoint.direct == Result::kPending) return false;
    if (endpoint.peer == PeerResult::kPending) return false;
    return endpoint.peer != PeerResult::kUnknown || !MayAskPeers();
  });
}

PathCheck::Verdict PathCheck::Of(const std::string& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return Verdict::kUnknown;
  if (it->second.direct == Result::kEstablished) return Verdict::kWorks;
  if (it->second.peer == PeerResult::kReached) return Verdict::kPathLost;
  const bool compared =
      it->second.peer == PeerResult::kNotReached || ReachesSome();
  return compared ? Verdict::kAtFault : Verdict::kUnknown;
}

std::vector<std::string> PathCheck::endpoints() const {
  std::vector<std::string> names;
  names.reserve(endpoints_.size());
  for (const auto& [name, endpoint] : endpoints_) names.push_back(name);
  return names;
}

}  // namespace pinford
