#include "pinford/forwarding/forward_target.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pinford {

ForwardTarget::ForwardTarget(EndpointTable* table, EndpointWatch* watch,
                             const Options& options)
    : table_(table),
      watch_(watch),
      options_(options),
      timed_recovery_(table->mechanisms().enabled(Mechanism::kTimedRecovery)) {}

bool ForwardTarget::Pick(Time now, const std::set<std::string>& tried,
                         PermitClass permit_class, bool repeated) {
  chain_.clear();
  picked_at_ = now;
  permit_class_ = permit_class;
  const bool found = pool() ? PickChainTarget(now) : PickEndpoint(now, tried);
  if (found) {
    incarnation_ = table_->IncarnationOf(endpoint_);
    permit_expires_ =
        table_->mutable_permits()->Take(now, endpoint_, permit_class_);
  }
  // Also if one was found: the next request may use it then.
  table_->WantPermit(now, options_.service, permit_class_, repeated);
  return found;
}

bool ForwardTarget::UsePermit(Time now) {
  const bool needed_none = permit_expires_ == Time::max();
  const bool limited = table_->permits().limits().Find(endpoint_) != nullptr;
  const bool valid =
      permit_expires_ && (needed_none ? !limited : *permit_expires_ > now);
  const bool has_permit =
      valid || table_->mutable_permits()->Take(now, endpoint_, permit_class_);
  permit_expires_.reset();
  return has_permit;
}

void ForwardTarget::ReturnPermit(Time now) {
  if (!permit_expires_) return;
  table_->mutable_permits()->Return(now, endpoint_, permit_class_,
                                    *permit_expires_);
  permit_expires_.reset();
}

bool ForwardTarget::PickEndpoint(Time now, const std::set<std::string>& tried) {
  std::optional<std::string> name =
      table_->PickService(now, options_.service, tried, permit_class_);
  // If all were tried, trying one again is better than none.
  if (!name)
    name = table_->PickService(now, options_.service, {}, permit_class_);
  if (!name) return false;
  endpoint_ = *name;
  table_->OnSent(endpoint_);
  return true;
}

bool ForwardTarget::PickChainTarget(Time now) {
  const std::optional<std::string> version =
      table_->VersionFor(now, options_.service, options_.version);
  if (!version) return false;
  std::optional<Chain> chain = table_->PickChainFor(
      now, options_.service, *version, {0, options_.layers},
      options_.hall_weight, options_.layer_work, {}, permit_class_);
  if (!chain || chain->empty()) {
    memory_bottleneck_ =
        table_->MemoryBottleneckOf(now, options_.service, *version);
    return false;
  }
  memory_bottleneck_.reset();
  max_memory_use_ = max_prefill_load_ = 0;
  for (const Stage& stage : *chain) {
    max_memory_use_ = std::max(
        max_memory_use_, table_->MemoryUtilizationOf(now, stage.endpoint));
    max_prefill_load_ =
        std::max(max_prefill_load_, table_->PrefillLoadOf(now, stage.endpoint));
  }
  ReserveChain(now, *chain);
  chain_ = std::move(*chain);
  endpoint_ = chain_.front().endpoint;
  table_->OnEntry(endpoint_);
  return true;
}

int ForwardTarget::WorkOf(const Stage& stage) const {
  const double work = options_.layer_work * stage.range.size();
  return std::max(1, static_cast<int>(std::lround(work)));
}

int ForwardTarget::HallTransfers(const Chain& chain) const {
  int hall_transfers = 0;
  for (size_t i = 1; i < chain.size(); i++) {
    const std::string& before = table_->HallOf(chain[i - 1].endpoint);
    if (before != table_->HallOf(chain[i].endpoint)) hall_transfers++;
  }
  return hall_transfers;
}

void ForwardTarget::ReserveChain(Time now, const Chain& chain) {
  constexpr double kTokens = 1000;  // layer_work is in thousands
  const double transfer_tokens =
      HallTransfers(chain) * options_.layer_work * kTokens;
  table_->OnTransferSent(now, transfer_tokens);
  table_->OnTransferQueued(transfer_tokens);
  pending_transfer_ += transfer_tokens;
  for (const Stage& stage : chain) {
    table_->OnSent(stage.endpoint, WorkOf(stage));
    // Stages that stay keep their prefilled tokens.
    if (Uses(stage.endpoint)) continue;
    const double tokens = options_.prompt * stage.range.size();
    table_->OnPrefillSent(now, stage.endpoint, tokens);
    table_->OnPrefillQueued(stage.endpoint, tokens);
    pending_prefill_.emplace_back(stage.endpoint, tokens);
  }
}

void ForwardTarget::ClearPendingLoad() {
  for (const auto& [endpoint, tokens] : pending_prefill_) {
    table_->OnPrefillDone(endpoint, tokens);
  }
  pending_prefill_.clear();
  table_->OnTransferDone(std::exchange(pending_transfer_, 0));
}

void ForwardTarget::ReleaseChain(const Chain& chain) {
  for (const Stage& stage : chain) {
    table_->OnDone(stage.endpoint, WorkOf(stage));
  }
}

void ForwardTarget::Release(Time now, Time sent, bool succeeded) {
  if (endpoint_.empty()) return;
  ReturnPermit(now);
  if (!pool()) {
    table_->OnDone(endpoint_);
    if (succeeded) table_->OnSuccess(endpoint_, 1, now - sent);
  }
  if (pool()) table_->OnEntryDone(endpoint_);
  if (std::exchange(watched_, false)) watch_->OnEnd(chain_);
  ClearPendingLoad();
  ReleaseChain(chain_);
  for (const Stage& stage : chain_) {
    if (!succeeded) break;
    table_->OnSuccess(stage.endpoint, stage.range.size(), now - sent);
  }
  endpoint_.clear();
}

int ForwardTarget::Neighbors() const {
  const auto row = table_->rows().find(endpoint_);
  return row == table_->rows().end() ? 0 : std::max(0, row->second.own - 1);
}

Address ForwardTarget::address() const {
  const std::optional<Address> at = table_->AddressOf(endpoint_);
  // A row stays in the table while this box has load there.
  assert(at);
  return *at;
}

std::vector<AddressedStage> ForwardTarget::WithAddresses(
    const Chain& chain) const {
  std::vector<AddressedStage> out;
  out.reserve(chain.size());
  for (const Stage& stage : chain) {
    const std::optional<Address> at = table_->AddressOf(stage.endpoint);
    assert(at);
    out.push_back({*at, stage.range});
  }
  return out;
}

std::string ForwardTarget::StageAt(const Chain& chain,
                                   std::string_view address) const {
  for (const Stage& stage : chain) {
    const std::optional<Address> at = table_->AddressOf(stage.endpoint);
    if (at && at->ToString() == address) return stage.endpoint;
  }
  return "";
}

std::string ForwardTarget::EndpointAt(std::string_view address) const {
  const std::string stage = StageAt(chain_, address);
  return stage.empty() ? endpoint_ : stage;
}

void ForwardTarget::OnEvents(Time now) {
  ClearPendingLoad();
  if (!std::exchange(watched_, true)) watch_->OnBegin(now, chain_);
  watch_->OnProgress(now, chain_);
}

bool ForwardTarget::AnyStageIdleSince(Time t) const {
  return std::any_of(chain_.begin(), chain_.end(), [this, t](const Stage& s) {
    return watch_->LastProgressOf(s.endpoint) <= t;
  });
}

std::vector<std::string> ForwardTarget::StagesIdleSince(Time t) const {
  std::vector<std::string> out;
  for (const Stage& stage : chain_) {
    if (watch_->LastProgressOf(stage.endpoint) <= t)
      out.push_back(stage.endpoint);
  }
  return out;
}

void ForwardTarget::FailStagesIdleSince(Time t, Time now, Time sent) {
  if (!pool()) table_->OnFailure(now, endpoint_, sent);
  for (const Stage& stage : chain_) {
    if (watch_->LastProgressOf(stage.endpoint) > t) continue;
    table_->OnFailure(now, stage.endpoint, sent);
  }
}

// --- stages that are down or slow ------------------------------------------

bool ForwardTarget::Uses(const std::string& endpoint) const {
  return std::any_of(chain_.begin(), chain_.end(), [&endpoint](const Stage& s) {
    return s.endpoint == endpoint;
  });
}

std::optional<Chain> ForwardTarget::PickRunnersFor(
    Time now, const std::string& version, const Stage& stage,
    const std::set<std::string>& avoid) const {
  const auto pick = [&](const EndpointTable::HallWeight& weight) {
    return table_->PickChainFor(now, options_.service, version, stage.range,
                                weight, options_.layer_work, avoid);
  };
  const std::string& hall = table_->HallOf(stage.endpoint);
  const auto same_hall = [&](const std::string& h) {
    return h == hall ? options_.hall_weight(h) : 0;
  };
  if (timed_recovery_) {
    std::optional<Chain> runners = pick(same_hall);
    if (runners) return runners;
  }
  return pick(options_.hall_weight);
}

// Picks replacements for a stage. Replacing a slow stage is worthwhile only if
// none of them is slow.
std::optional<Chain> ForwardTarget::PickReplacements(
    Time now, const std::string& version, const Stage& stage,
    const std::set<std::string>& avoid) const {
  std::optional<Chain> runners = PickRunnersFor(now, version, stage, avoid);
  if (!runners || watch_->IsDown(stage.endpoint)) return runners;
  const bool slow = std::any_of(
      runners->begin(), runners->end(),
      [this](const Stage& s) { return watch_->IsSlow(s.endpoint); });
  return slow ? std::nullopt : runners;
}

std::optional<std::string> ForwardTarget::Version(Time now) const {
  return table_->VersionFor(now, options_.service, options_.version);
}

bool ForwardTarget::FirstStageIsDown() const {
  return watch_->IsDown(endpoint_);
}

bool ForwardTarget::HasDownStage() const {
  return std::any_of(chain_.begin(), chain_.end(), [this](const Stage& s) {
    return watch_->IsDown(s.endpoint);
  });
}

std::optional<Chain> ForwardTarget::ChainWithoutImpaired(Time now,
                                                         Impaired which) const {
  if (FirstStageIsDown()) return std::nullopt;
  const std::optional<std::string> version = Version(now);
  if (!version) return std::nullopt;
  std::set<std::string> avoid;
  for (const Stage& stage : chain_) avoid.insert(stage.endpoint);
  Chain next = {chain_.front()};
  for (size_t i = 1; i < chain_.size(); i++) {
    const Stage& stage = chain_[i];
    const bool down = watch_->IsDown(stage.endpoint);
    const bool slow =
        which == Impaired::kDownOrSlow && watch_->IsSlow(stage.endpoint);
    std::optional<Chain> runners;
    if (down || slow) runners = PickReplacements(now, *version, stage, avoid);
    if (down && !runners) return std::nullopt;
    if (!runners) runners = Chain{stage};
    for (const Stage& other : *runners) {
      avoid.insert(other.endpoint);
      next.push_back(other);
    }
  }
  return next;
}

double ForwardTarget::Slowdown() const {
  double nominal = 0;
  double actual = 0;
  for (const Stage& s : chain_) {
    nominal += table_->StepSecondsOf(s.endpoint, s.range.size(), false);
    actual += table_->StepSecondsOf(s.endpoint, s.range.size(), true);
  }
  return nominal > 0 ? actual / nominal : 1;
}

// Returns the stages of `chain` that are not in `other`.
static Chain StagesNotIn(const Chain& chain, const Chain& other) {
  Chain out;
  for (const Stage& s : chain) {
    const bool stays = std::find(other.begin(), other.end(), s) != other.end();
    if (!stays) out.push_back(s);
  }
  return out;
}

RecoveryLoad ForwardTarget::RecoveryLoadFor(
    Time now, const Chain& next, const PoolCapacity& capacity) const {
  constexpr double kTokens = 1000;  // work is in thousands
  RecoveryLoad load;
  for (const Stage& s : StagesNotIn(chain_, next)) {
    const double work = table_->LayerWorkOf(now, s.endpoint);
    load.tokens = std::max(load.tokens, work * kTokens);
  }
  bool first = true;
  for (const Stage& s : StagesNotIn(next, chain_)) {
    const std::string& hall = table_->HallOf(s.endpoint);
    const double prefill = capacity.MinOverLayers(hall, s.range).prefill_per_s;
    load.prefill_per_s =
        first ? prefill : std::min(load.prefill_per_s, prefill);
    first = false;
  }
  load.extra_transfers = HallTransfers(next) - hall_transfers();
  load.transfer_seconds_per_token = table_->transfer_seconds_per_token();
  load.links = std::max(1, static_cast<int>(capacity.halls().size()) - 1);
  return load;
}

void ForwardTarget::SwitchTo(Time now, const Chain& chain) {
  if (watched_) watch_->OnEnd(chain_);
  ReleaseChain(chain_);
  chain_ = chain;
  if (watched_) watch_->OnBegin(now, chain_);
}

}  // namespace pinford
