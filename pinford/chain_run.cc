// Each cycle of NextStep() calls brings every stage's cache up to
// target_positions(), the number of known tokens, from the first stage to the
// last, and ends with one new token. NextStep() finds the first stage that is
// behind the target and then walks back to the nearest stage whose inputs are
// available from the first missing position on. The first stage's inputs are
// the tokens, which are always available. In the common case that stage is the
// one behind.

#include "pinford/chain_run.h"

#include <algorithm>
#include <cassert>

namespace pinford {

ChainRun::ChainRun(std::string request, int layers, std::vector<int> prompt,
                   const Options& options)
    : request_(std::move(request)),
      all_layers_{0, layers},
      options_(options),
      tokens_(std::move(prompt)),
      prompt_size_(tokens_.size()) {
  assert(layers > 0 && !tokens_.empty());
}

std::vector<LayerRange> ChainRun::Gaps() const {
  std::vector<LayerRange> gaps;
  int at = all_layers_.begin;
  for (const OwnedStage& stage : stages_) {
    if (at < stage.range.begin) gaps.push_back({at, stage.range.begin});
    at = stage.range.end;
  }
  if (at < all_layers_.end) gaps.push_back({at, all_layers_.end});
  return gaps;
}

bool ChainRun::Fill(const LayerRange& gap, const Chain& part) {
  std::vector<LayerRange> gaps = Gaps();
  if (std::find(gaps.begin(), gaps.end(), gap) == gaps.end()) return false;
  if (!Partitions(part, gap)) return false;
  auto at = std::find_if(
      stages_.begin(), stages_.end(),
      [&gap](const OwnedStage& s) { return s.range.begin >= gap.end; });
  std::vector<OwnedStage> new_stages;
  for (const Stage& s : part) {
    new_stages.push_back({s.endpoint, s.range, ++last_attempt_, 0});
  }
  stages_.insert(at, new_stages.begin(), new_stages.end());
  return true;
}

StepRequest ChainRun::NextStep() {
  assert(!step_in_flight_ && !ended_ && Gaps().empty());
  size_t first_behind = 0;
  while (stages_[first_behind].cached >= target_positions()) {
    first_behind++;
    assert(first_behind < stages_.size());
  }
  const int from = stages_[first_behind].cached;
  current_stage_ = first_behind;
  while (current_stage_ > 0 &&
         !journal_[stages_[current_stage_].range.begin].Covers(
             from, target_positions())) {
    current_stage_--;
  }
  const OwnedStage& stage = stages_[current_stage_];
  last_attempt_++;
  step_in_flight_ = true;
  step_ = {request_, last_attempt_, stage.session, from, stage.range};
  step_input_count_ = target_positions() - from;
  at_last_stage_ = stage.range.end == all_layers_.end;
  recomputed_ += std::max(0, stage.cached - from);

  StepRequest step;
  step.id = step_;
  step.cached = stage.cached;
  step.last = at_last_stage_;
  step.priority = options_.priority;
  if (current_stage_ == 0) {
    step.tokens.assign(tokens_.begin() + from, tokens_.end());
  } else {
    const Inputs& in = journal_[stage.range.begin];
    step.activations.assign(in.values.begin() + (from - in.first),
                            in.values.end());
  }
  assert(step.inputs() == step_input_count_);
  return step;
}

ReplyVerdict ChainRun::OnReply(StepReply reply) {
  if (!step_in_flight_ || reply.id != step_) return ReplyVerdict::kStale;
  const size_t expected_outputs = at_last_stage_ ? 0 : step_input_count_;
  if (reply.activations.size() != expected_outputs)
    return ReplyVerdict::kMalformed;

  step_in_flight_ = false;
  OwnedStage& stage = stages_[current_stage_];
  stage.cached = std::max(stage.cached, target_positions());
  if (!at_last_stage_) {
    RecordInputs(stage.range.end, step_.position, std::move(reply.activations));
    return ReplyVerdict::kStep;
  }
  tokens_.push_back(reply.token);
  last_text_ = std::move(reply.text);
  ended_ = reply.end;
  TrimJournal();
  return ReplyVerdict::kToken;
}

void ChainRun::RecordInputs(int layer, int from,
                            std::vector<std::string> values) {
  Inputs& in = journal_[layer];
  // Contiguous values are appended; any others replace the journal entry.
  if (from != in.first + static_cast<int>(in.values.size())) {
    for (const std::string& v : in.values) journal_bytes_ -= v.size();
    in.values.clear();
    in.first = from;
  }
  for (std::string& v : values) {
    journal_bytes_ += v.size();
    in.values.push_back(std::move(v));
  }
}

void ChainRun::TrimJournal() {
  // Runs between tokens, when every cache is up to date and no journaled input
  // is still needed.
  if (journal_bytes_ <= options_.max_journal_bytes) return;
  for (auto& [layer, in] : journal_) {
    in.first += static_cast<int>(in.values.size());
    in.values.clear();
  }
  journal_bytes_ = 0;
}

ChainRun::OwnedStage ChainRun::RemoveCurrentStage() {
  assert(step_in_flight_);
  step_in_flight_ = false;
  OwnedStage lost = std::move(stages_[current_stage_]);
  stages_.erase(stages_.begin() + static_cast<long>(current_stage_));
  return lost;
}

}  // namespace pinford
