#include "pinford/forwarding/forward_target.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace pinford {

ForwardTarget::ForwardTarget(EndpointTable* table, EndpointWatch* watch,
                             const Options& options)
    : table_(table), watch_(watch), options_(options) {}

bool ForwardTarget::Pick(Time now, const std::set<std::string>& tried) {
  chain_.clear();
  if (pool()) return PickChainTarget(now);
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
    shortage_ = table_->ShortestOf(now, options_.service, *version);
    return false;
  }
  shortage_.reset();
  fullest_ = busiest_ = 0;
  for (const Stage& stage : *chain) {
    fullest_ = std::max(fullest_, table_->TakenOf(now, stage.endpoint));
    busiest_ = std::max(busiest_, table_->ReadingOf(now, stage.endpoint));
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
  table_->OnCrossing(now, CrossingsOf(chain) * options_.layer_work * kTokens);
  for (const Stage& stage : chain) {
    table_->OnSent(stage.endpoint, WorkOf(stage));
    // Stages that stay keep what they have read.
    if (Uses(stage.endpoint)) continue;
    const double tokens = options_.prompt;
    table_->OnPrompt(now, stage.endpoint, tokens * stage.range.size());
  }
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
  if (!std::exchange(watched_, true)) watch_->OnBegin(now, chain_);
  watch_->OnProgress(now, chain_);
}

bool ForwardTarget::SomeStageSilentSince(Time t) const {
  return std::any_of(chain_.begin(), chain_.end(), [this, t](const Stage& s) {
    return watch_->ProgressOf(s.endpoint) <= t;
  });
}

void ForwardTarget::BlameSince(Time t, Time now, Time sent) {
  if (!pool()) table_->OnFailure(now, endpoint_, sent);
  for (const Stage& stage : chain_) {
    if (watch_->ProgressOf(stage.endpoint) > t) continue;
    table_->OnFailure(now, stage.endpoint, sent);
  }
}

// --- stages that are down or slow ------------------------------------------

bool ForwardTarget::Uses(const std::string& endpoint) const {
  return std::any_of(chain_.begin(), chain_.end(), [&endpoint](const Stage& s) {
    return s.endpoint == endpoint;
  });
}

// Runners for a stage's part. A slow stage is worth replacing only by runners
// that are not slow.
std::optional<Chain> ForwardTarget::StandIns(
    Time now, const std::string& version, const Stage& stage,
    const std::set<std::string>& avoid) const {
  std::optional<Chain> part =
      table_->PickChainFor(now, options_.service, version, stage.range,
                           options_.hall_weight, options_.layer_work, avoid);
  if (!part || watch_->IsDown(stage.endpoint)) return part;
  const bool slow = std::any_of(
      part->begin(), part->end(),
      [this](const Stage& s) { return watch_->IsSlow(s.endpoint); });
  return slow ? std::nullopt : part;
}

std::optional<Chain> ForwardTarget::WithoutImpaired(Time now) const {
  if (watch_->IsDown(endpoint_)) return std::nullopt;
  const std::optional<std::string> version =
      table_->VersionFor(now, options_.service, options_.version);
  if (!version) return std::nullopt;
  std::set<std::string> avoid;
  for (const Stage& stage : chain_) avoid.insert(stage.endpoint);
  Chain next = {chain_.front()};
  for (size_t i = 1; i < chain_.size(); i++) {
    const Stage& stage = chain_[i];
    const bool down = watch_->IsDown(stage.endpoint);
    std::optional<Chain> part;
    if (down || watch_->IsSlow(stage.endpoint)) {
      part = StandIns(now, *version, stage, avoid);
    }
    if (down && !part) return std::nullopt;
    if (!part) part = Chain{stage};
    for (const Stage& other : *part) {
      avoid.insert(other.endpoint);
      next.push_back(other);
    }
  }
  return next;
}

void ForwardTarget::Replace(Time now, const Chain& chain) {
  if (watched_) watch_->OnEnd(chain_);
  Drop(chain_);
  chain_ = chain;
  if (watched_) watch_->OnBegin(now, chain_);
}

}  // namespace pinford
