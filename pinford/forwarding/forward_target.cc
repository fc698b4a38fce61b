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
      timed_(table->mechanisms().enabled(Mechanism::kTimedRecovery)) {}

bool ForwardTarget::Pick(Time now, const std::set<std::string>& tried) {
  chain_.clear();
  picked_ = now;
  const bool found = pool() ? PickChainTarget(now) : PickEndpoint(now, tried);
  if (found) incarnation_ = table_->IncarnationOf(endpoint_);
  return found;
}

bool ForwardTarget::PickEndpoint(Time now, const std::set<std::string>& tried) {
  std::optional<std::string> name =
      table_->PickService(now, options_.service, tried);
  // Where all were tried, one of them once more is better than none.
  if (!name) name = table_->PickService(now, options_.service, {});
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
      options_.hall_weight, options_.layer_work);
  if (!chain || chain->empty()) {
    shortage_ = table_->MemoryBottleneckOf(now, options_.service, *version);
    return false;
  }
  shortage_.reset();
  fullest_ = busiest_ = 0;
  for (const Stage& stage : *chain) {
    fullest_ =
        std::max(fullest_, table_->MemoryUtilizationOf(now, stage.endpoint));
    busiest_ = std::max(busiest_, table_->PrefillLoadOf(now, stage.endpoint));
  }
  Hold(now, *chain);
  chain_ = std::move(*chain);
  endpoint_ = chain_.front().endpoint;
  table_->OnEntry(endpoint_);
  return true;
}

int ForwardTarget::WorkOf(const Stage& stage) const {
  const double work = options_.layer_work * stage.range.size();
  return std::max(1, static_cast<int>(std::lround(work)));
}

int ForwardTarget::CrossingsOf(const Chain& chain) const {
  int crossings = 0;
  for (size_t i = 1; i < chain.size(); i++) {
    const std::string& before = table_->HallOf(chain[i - 1].endpoint);
    if (before != table_->HallOf(chain[i].endpoint)) crossings++;
  }
  return crossings;
}

void ForwardTarget::Hold(Time now, const Chain& chain) {
  constexpr double kTokens = 1000;  // layer_work counts in thousands
  const double crossing = CrossingsOf(chain) * options_.layer_work * kTokens;
  table_->OnTransferSent(now, crossing);
  table_->OnTransferQueued(crossing);
  crossing_waiting_ += crossing;
  for (const Stage& stage : chain) {
    table_->OnSent(stage.endpoint, WorkOf(stage));
    // Stages that stay keep what they have read.
    if (Uses(stage.endpoint)) continue;
    const double tokens = options_.prompt * stage.range.size();
    table_->OnPrefillSent(now, stage.endpoint, tokens);
    table_->OnPrefillQueued(stage.endpoint, tokens);
    waiting_.emplace_back(stage.endpoint, tokens);
  }
}

void ForwardTarget::NotWaiting() {
  for (const auto& [endpoint, tokens] : waiting_) {
    table_->OnPrefillDone(endpoint, tokens);
  }
  waiting_.clear();
  table_->OnTransferDone(std::exchange(crossing_waiting_, 0));
}

void ForwardTarget::Drop(const Chain& chain) {
  for (const Stage& stage : chain) {
    table_->OnDone(stage.endpoint, WorkOf(stage));
  }
}

void ForwardTarget::Release(Time now, Time sent, bool worked) {
  if (endpoint_.empty()) return;
  if (!pool()) {
    table_->OnDone(endpoint_);
    if (worked) table_->OnSuccess(endpoint_, 1, now - sent);
  }
  if (pool()) table_->OnEntryDone(endpoint_);
  if (std::exchange(watched_, false)) watch_->OnEnd(chain_);
  NotWaiting();
  Drop(chain_);
  for (const Stage& stage : chain_) {
    if (!worked) break;
    table_->OnSuccess(stage.endpoint, stage.range.size(), now - sent);
  }
  endpoint_.clear();
}

Address ForwardTarget::address() const {
  const std::optional<Address> at = table_->AddressOf(endpoint_);
  // A row stays in the table while this box has work there.
  assert(at);
  return *at;
}

std::vector<AddressedStage> ForwardTarget::Addressed(const Chain& chain) const {
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
  NotWaiting();
  if (!std::exchange(watched_, true)) watch_->OnBegin(now, chain_);
  watch_->OnProgress(now, chain_);
}

bool ForwardTarget::SomeStageSilentSince(Time t) const {
  return std::any_of(chain_.begin(), chain_.end(), [this, t](const Stage& s) {
    return watch_->LastProgressOf(s.endpoint) <= t;
  });
}

std::vector<std::string> ForwardTarget::SilentSince(Time t) const {
  std::vector<std::string> out;
  for (const Stage& stage : chain_) {
    if (watch_->LastProgressOf(stage.endpoint) <= t)
      out.push_back(stage.endpoint);
  }
  return out;
}

void ForwardTarget::BlameSince(Time t, Time now, Time sent) {
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

std::optional<Chain> ForwardTarget::PickPart(
    Time now, const std::string& version, const Stage& stage,
    const std::set<std::string>& avoid) const {
  const auto pick = [&](const EndpointTable::HallWeight& weight) {
    return table_->PickChainFor(now, options_.service, version, stage.range,
                                weight, options_.layer_work, avoid);
  };
  const std::string& hall = table_->HallOf(stage.endpoint);
  const auto here = [&](const std::string& h) {
    return h == hall ? options_.hall_weight(h) : 0;
  };
  if (timed_) {
    std::optional<Chain> part = pick(here);
    if (part) return part;
  }
  return pick(options_.hall_weight);
}

// Runners for a stage's part. A slow stage is worth replacing only by runners
// that are not slow.
std::optional<Chain> ForwardTarget::StandIns(
    Time now, const std::string& version, const Stage& stage,
    const std::set<std::string>& avoid) const {
  std::optional<Chain> part = PickPart(now, version, stage, avoid);
  if (!part || watch_->IsDown(stage.endpoint)) return part;
  const bool slow = std::any_of(
      part->begin(), part->end(),
      [this](const Stage& s) { return watch_->IsSlow(s.endpoint); });
  return slow ? std::nullopt : part;
}

std::optional<std::string> ForwardTarget::Version(Time now) const {
  return table_->VersionFor(now, options_.service, options_.version);
}

bool ForwardTarget::FirstIsDown() const { return watch_->IsDown(endpoint_); }

bool ForwardTarget::HasDown() const {
  return std::any_of(chain_.begin(), chain_.end(), [this](const Stage& s) {
    return watch_->IsDown(s.endpoint);
  });
}

std::optional<Chain> ForwardTarget::Without(Time now, Impaired which) const {
  if (FirstIsDown()) return std::nullopt;
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
    std::optional<Chain> part;
    if (down || slow) part = StandIns(now, *version, stage, avoid);
    if (down && !part) return std::nullopt;
    if (!part) part = Chain{stage};
    for (const Stage& other : *part) {
      avoid.insert(other.endpoint);
      next.push_back(other);
    }
  }
  return next;
}

double ForwardTarget::Slowdown() const {
  double usual = 0;
  double now = 0;
  for (const Stage& s : chain_) {
    usual += table_->StepSecondsOf(s.endpoint, s.range.size(), false);
    now += table_->StepSecondsOf(s.endpoint, s.range.size(), true);
  }
  return usual > 0 ? now / usual : 1;
}

// Stages of one chain that another has not.
static Chain Less(const Chain& chain, const Chain& other) {
  Chain out;
  for (const Stage& s : chain) {
    const bool stays = std::find(other.begin(), other.end(), s) != other.end();
    if (!stays) out.push_back(s);
  }
  return out;
}

RecoveryLoad ForwardTarget::LoadOf(Time now, const Chain& next,
                                   const PoolCapacity& capacity) const {
  constexpr double kTokens = 1000;  // work counts in thousands
  RecoveryLoad load;
  for (const Stage& s : Less(chain_, next)) {
    const double work = table_->LayerWorkOf(now, s.endpoint);
    load.tokens = std::max(load.tokens, work * kTokens);
  }
  bool first = true;
  for (const Stage& s : Less(next, chain_)) {
    const std::string& hall = table_->HallOf(s.endpoint);
    const double reads = capacity.MinOverLayers(hall, s.range).prefill_per_s;
    load.prefill_per_s = first ? reads : std::min(load.prefill_per_s, reads);
    first = false;
  }
  load.more_crossings = CrossingsOf(next) - crossings();
  load.transfer_seconds_per_token = table_->transfer_seconds_per_token();
  load.links = std::max(1, static_cast<int>(capacity.halls().size()) - 1);
  return load;
}

void ForwardTarget::Replace(Time now, const Chain& chain) {
  if (watched_) watch_->OnEnd(chain_);
  Drop(chain_);
  chain_ = chain;
  if (watched_) watch_->OnBegin(now, chain_);
}

}  // namespace pinford
