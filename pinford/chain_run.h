// Tracks one completion as it is generated, token by token, through a chain of
// stages.
//
// A ChainRun decides which step to send next and whether to accept a reply; it
// does no I/O. It keeps these invariants even if messages are lost, delayed or
// duplicated:
//
//   - Each position is appended to a stage's cache once. A step states how many
//     positions the cache holds, and the endpoint refuses it if that differs. A
//     step with an unknown outcome ends the session for good: a new session, on
//     the same or another endpoint, starts with an empty cache.
//   - Layers run in order: a stage's inputs are the outputs of the previous
//     stage for the same positions.
//   - Each token is accepted once, by position, and only from the reply to the
//     step in flight.
//
// The prompt, each further token and the repair of a lost stage all follow one
// rule: the first stage whose cache lacks positions is sent its missing inputs.
// They come from a journal of the activations that passed through the box. Only
// where the journal was trimmed to its size limit do earlier stages recompute
// their outputs, which does not change their caches.

#ifndef PINFORD_CHAIN_RUN_H_
#define PINFORD_CHAIN_RUN_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pinford/pipeline.h"

namespace pinford {

enum class ReplyVerdict {
  kStep,       // accepted; another step is due
  kToken,      // accepted, with a new token
  kStale,      // not the reply to the step in flight; dropped
  kMalformed,  // reply to the step in flight, but incomplete: the stage is lost
};

class ChainRun {
 public:
  // A stage of this run and its session on an endpoint.
  struct OwnedStage {
    std::string endpoint;
    LayerRange range;
    uint32_t session = 0;
    int cached = 0;  // positions in its cache
  };

  struct Options {
    // Bytes of activations kept for repairs. If there are more after a token,
    // the journal is cleared.
    size_t max_journal_bytes = 1 << 20;
    int priority = 0;
  };

  // `prompt` must not be empty.
  ChainRun(std::string request, int layers, std::vector<int> prompt,
           const Options& options);

  // Layer ranges without a stage, merged and in order. Must be empty before a
  // step is sent.
  std::vector<LayerRange> Gaps() const;
  // Assigns the stages of `part` to `gap`. Returns false and changes nothing
  // unless `gap` is one of Gaps() and `part` partitions it.
  bool Fill(const LayerRange& gap, const Chain& part);

  // Starts the next step and returns it. Requires that Gaps() is empty and that
  // no step is in flight.
  StepRequest NextStep();
  ReplyVerdict OnReply(StepReply reply);

  // Removes the stage of the step in flight, which leaves a gap, and returns
  // it. For a step that was refused or timed out, or whose reply is not valid.
  OwnedStage RemoveCurrentStage();
  bool step_in_flight() const { return step_in_flight_; }
  // The endpoint and id of the step in flight.
  const std::string& step_endpoint() const {
    return stages_[current_stage_].endpoint;
  }
  const StepId& step_id() const { return step_; }

  const std::string& request() const { return request_; }
  // The tokens of the prompt and those generated so far.
  const std::vector<int>& tokens() const { return tokens_; }
  size_t prompt_size() const { return prompt_size_; }
  // Text of the last token, and whether the model ended the answer there.
  const std::string& last_text() const { return last_text_; }
  bool ended() const { return ended_; }

  // The stages currently assigned.
  const std::vector<OwnedStage>& stages() const { return stages_; }

  size_t journal_bytes() const { return journal_bytes_; }
  // Positions that surviving stages recomputed.
  int recomputed() const { return recomputed_; }

 private:
  // Inputs of a layer for positions [first, first + size).
  struct Inputs {
    int first = 0;
    std::deque<std::string> values;
    bool Covers(int from, int to) const {
      return first <= from && to <= first + static_cast<int>(values.size());
    }
  };

  int target_positions() const { return static_cast<int>(tokens_.size()); }
  void RecordInputs(int layer, int from, std::vector<std::string> values);
  void TrimJournal();

  std::string request_;
  LayerRange all_layers_;
  Options options_;
  std::vector<int> tokens_;
  size_t prompt_size_;
  std::vector<OwnedStage> stages_;  // ordered by range; may have gaps
  std::map<int, Inputs> journal_;   // by the layer that they are inputs of
  size_t journal_bytes_ = 0;
  uint32_t last_attempt_ = 0;
  bool step_in_flight_ = false;
  size_t current_stage_ = 0;  // index of the stage whose step is in flight
  StepId step_;
  int step_input_count_ = 0;
  bool at_last_stage_ = false;
  std::string last_text_;
  bool ended_ = false;
  int recomputed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_CHAIN_RUN_H_
