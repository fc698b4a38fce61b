#include "pinford/forwarding/path_watch.h"

#include <algorithm>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<PathState> kPathStateNames[] = {
    {PathState::kDirect, "direct"},
    {PathState::kLost, "lost"},
};

std::string_view PathStateName(PathState state) {
  return NameIn(kPathStateNames, state);
}

// --- observations

void PathWatch::OnConnected(Time now, const std::string& service,
                            const std::string& endpoint) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  it->second.last_connected = now;
  it->second.failures.erase(endpoint);
}

void PathWatch::OnFailed(Time now, const std::string& service,
                         const std::string& endpoint) {
  Service& s = services_[service];
  if (s.state == PathState::kLost) return;
  Failure& failure = s.failures[endpoint];
  const bool expired = now - failure.last > options_.failure_window;
  if (failure.first == Time{} || expired) failure = {now, now};
  failure.last = now;
}

void PathWatch::Forget(const std::string& service,
                       const std::string& endpoint) {
  const auto it = services_.find(service);
  if (it != services_.end()) it->second.failures.erase(endpoint);
}

// --- checks

std::vector<std::string> PathWatch::Suspects(Time now,
                                             const Service& service) const {
  std::vector<std::string> suspects;
  for (const auto& [endpoint, failure] : service.failures) {
    const bool recent = failure.last > service.last_connected &&
                        now - failure.last <= options_.failure_window;
    if (recent && !failure.at_fault) suspects.push_back(endpoint);
  }
  return suspects;
}

bool PathWatch::NeedsCheck(Time now, const Service& service) const {
  return service.state == PathState::kLost || !Suspects(now, service).empty();
}

static bool Contains(const std::vector<std::string>& names,
                     const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void PathWatch::StartCheck(Time now, const std::string& name,
                           const std::vector<std::string>& usable,
                           Service* service, std::vector<Check>* due) {
  if (usable.empty()) return;
  std::vector<std::string> chosen;
  size_t count = 1;
  if (service->state == PathState::kDirect) {
    chosen = Suspects(now, *service);
    // The last one is another, to compare with.
    count = options_.max_checked;
    if (chosen.size() >= count) chosen.resize(count - 1);
  }
  std::vector<std::string> others = usable;
  std::shuffle(others.begin(), others.end(), random_);
  for (const std::string& endpoint : others) {
    if (chosen.size() >= count) break;
    if (!Contains(chosen, endpoint)) chosen.push_back(endpoint);
  }
  service->checking = true;
  service->check_started = now;
  service->direct.clear();
  service->from_peers.clear();
  service->peer_rounds = 0;
  const bool control =
      service->state == PathState::kDirect && chosen.size() == 1;
  service->control = control ? Result::kPending : Result::kFailed;
  for (const std::string& endpoint : chosen) {
    service->direct[endpoint] = Result::kPending;
  }
  Check check;
  check.service = name;
  check.control = control;
  for (const auto& [endpoint, result] : service->direct) {
    check.endpoints.push_back(endpoint);
  }
  due->push_back(std::move(check));
}

void PathWatch::AddPeerCheck(Time now, const std::string& name,
                             Service* service, std::vector<Check>* due) {
  if (service->state == PathState::kLost) return;
  const bool may_ask =
      service->peer_rounds < options_.max_peer_rounds &&
      std::all_of(service->from_peers.begin(), service->from_peers.end(),
                  [](const auto& entry) {
                    return entry.second == PeerResult::kUnknown;
                  });
  if (!may_ask) return;
  bool pending = false;
  Check check;
  for (const auto& [endpoint, result] : service->direct) {
    if (result == Result::kEstablished) return;
    pending = pending || result == Result::kPending;
    check.endpoints.push_back(endpoint);
  }
  if (pending && now - service->check_started < options_.direct_head_start)
    return;
  check.service = name;
  check.through_peers = true;
  service->peer_rounds++;
  due->push_back(std::move(check));
}

void PathWatch::OnDirectResult(Time now, const std::string& service,
                               const std::string& endpoint, bool established) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  Service& s = it->second;
  if (established) OnConnected(now, service, endpoint);
  const auto result = s.direct.find(endpoint);
  if (!s.checking || result == s.direct.end()) return;
  result->second = established ? Result::kEstablished : Result::kFailed;
  Judge(now, service, &s);
}

void PathWatch::OnControlResult(Time now, const std::string& service,
                                bool established) {
  const auto it = services_.find(service);
  if (it == services_.end() || !it->second.checking) return;
  it->second.control = established ? Result::kEstablished : Result::kFailed;
  Judge(now, service, &it->second);
}

void PathWatch::OnPeerAsked(const std::string& service,
                            const std::string& endpoint) {
  const auto it = services_.find(service);
  if (it == services_.end() || !it->second.checking) return;
  it->second.from_peers[endpoint] = PeerResult::kPending;
}

void PathWatch::OnPeerResult(Time now, const std::string& service,
                             const std::string& endpoint, PeerResult result) {
  const auto it = services_.find(service);
  if (it == services_.end() || !it->second.checking) return;
  const auto known = it->second.from_peers.find(endpoint);
  if (known == it->second.from_peers.end()) return;
  // One peer that reaches it outweighs others that do not.
  if (known->second != PeerResult::kReached) known->second = result;
  Judge(now, service, &it->second);
}

void PathWatch::Tick(Time now) {
  for (auto& [name, service] : services_) {
    if (service.checking) Judge(now, name, &service);
  }
}

void PathWatch::Judge(Time now, const std::string& name, Service* service) {
  if (service->state == PathState::kLost) {
    JudgeReturn(now, name, service);
    return;
  }
  // What has arrived meanwhile may not have been read yet.
  const Duration took =
      now - service->check_started - own_delay_(service->check_started);
  const bool over = took >= options_.check_timeout;
  bool pending = false;
  bool established = false;
  for (const auto& [endpoint, result] : service->direct) {
    pending = pending || result == Result::kPending;
    established = established || result == Result::kEstablished;
  }
  const auto from_peer = [service](const std::string& endpoint) {
    const auto it = service->from_peers.find(endpoint);
    return it == service->from_peers.end() ? PeerResult::kUnknown : it->second;
  };
  bool peers_known = false;
  for (const auto& [endpoint, result] : service->direct) {
    const PeerResult peer = from_peer(endpoint);
    if (peer == PeerResult::kNotReached) peers_known = true;
    const bool failed =
        result == Result::kFailed ||
        (result == Result::kPending && took >= options_.direct_patience);
    if (!established && failed && peer == PeerResult::kReached) {
      SetState(now, name, PathState::kLost, service);
      return;
    }
  }
  const bool asking = std::any_of(
      service->from_peers.begin(), service->from_peers.end(),
      [](const auto& e) { return e.second == PeerResult::kPending; });
  // Peers that could not tell have all been asked by then.
  const bool peers_done =
      !asking &&
      (peers_known || service->peer_rounds >= options_.max_peer_rounds);
  const bool control = service->control == Result::kEstablished;
  pending = pending || service->control == Result::kPending;
  const bool done = !pending && (established || peers_done);
  if (!done && !over) return;
  for (const auto& [endpoint, result] : service->direct) {
    if (result == Result::kEstablished) continue;
    const bool at_fault = established ||
                          from_peer(endpoint) == PeerResult::kNotReached ||
                          (control && peers_done);
    const auto failure = service->failures.find(endpoint);
    if (at_fault && failure != service->failures.end())
      failure->second.at_fault = true;
  }
  EndCheck(now, service);
}

void PathWatch::JudgeReturn(Time now, const std::string& name,
                            Service* service) {
  const Result result = service->direct.begin()->second;
  const bool over = now - service->check_started >= options_.check_timeout;
  if (result == Result::kPending && !over) return;
  service->successes =
      result == Result::kEstablished ? service->successes + 1 : 0;
  EndCheck(now, service);
  if (service->successes >= options_.successes_to_return) {
    SetState(now, name, PathState::kDirect, service);
  }
}

void PathWatch::EndCheck(Time now, Service* service) {
  service->checking = false;
  const bool lost = service->state == PathState::kLost;
  service->next_check =
      service->check_started +
      (lost ? options_.retry_interval : options_.check_interval);
  service->next_check = std::max(service->next_check, now);
}

void PathWatch::SetState(Time now, const std::string& name, PathState state,
                         Service* service) {
  Change change;
  change.service = name;
  change.now = state;
  change.failed = service->failures.size();
  change.since = service->lost_at;
  if (state == PathState::kLost) {
    change.since = now;
    for (const auto& [endpoint, failure] : service->failures) {
      change.since = std::min(change.since, failure.first);
    }
  }
  service->state = state;
  service->lost_at = now;
  service->failures.clear();
  service->successes = 0;
  EndCheck(now, service);
  if (state == PathState::kLost)
    service->next_check = now + options_.retry_interval;
  changes_.push_back(std::move(change));
}

std::vector<PathWatch::Change> PathWatch::TakeChanges() {
  return std::exchange(changes_, {});
}

// --- beliefs

PathState PathWatch::StateOf(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? PathState::kDirect : it->second.state;
}

bool PathWatch::InDoubt(Time now, const std::string& service) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.state == PathState::kLost)
    return false;
  return it->second.checking || !Suspects(now, it->second).empty();
}

bool PathWatch::IsAtFault(const std::string& service,
                          const std::string& endpoint) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const auto failure = it->second.failures.find(endpoint);
  return failure != it->second.failures.end() && failure->second.at_fault;
}

size_t PathWatch::lost() const {
  return std::count_if(services_.begin(), services_.end(), [](const auto& s) {
    return s.second.state == PathState::kLost;
  });
}

}  // namespace pinford
