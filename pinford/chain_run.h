// The state of one answer as it is driven through a chain, token by token.
//
// A ChainRun decides which step to send next and which reply to believe; it
// does no I/O. What it keeps true, whatever is lost, late or repeated:
//
//   - A position of a stage's cache is appended once: a step states how many
//     positions the cache holds, the endpoint refuses if that differs, and a
//     step whose fate is not known ends the session for good. A new session,
//     on the same or another endpoint, starts from an empty cache.
//   - Layers run in order: a stage's inputs are the outputs of the stage
//     before, for the same positions.
//   - A token is taken once, by position, from the reply to the one step
//     that is being waited for.
//
// One rule covers the prompt, each further token and the repair of a lost
// stage: the first stage whose cache lacks positions is given the inputs it
// lacks. They are at hand in the journal of activations that passed through
// the box; only where the journal was cut for its size are earlier stages
// asked to recompute outputs, which leaves their caches alone.

#ifndef PINFORD_CHAIN_RUN_H_
#define PINFORD_CHAIN_RUN_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "pinford/pipeline.h"

namespace pinford {

enum class ReplyVerdict {
  kStep,       // taken; another step is due
  kToken,      // taken; a new token came with it
  kStale,      // not the reply waited for; dropped
  kMalformed,  // the right step but not a whole reply: the stage is lost
};

class ChainRun {
 public:
  // A stage of the run, with its session.
  struct OwnedStage {
    std::string endpoint;
    LayerRange range;
    uint32_t session = 0;
    int cached = 0;  // positions in its cache
  };

  struct Options {
    // Bytes of activations kept for repair. Beyond it the oldest go.
    size_t max_journal_bytes = 1 << 20;
    int priority = 0;
  };

  // `prompt` is not empty.
  ChainRun(std::string request, int layers, std::vector<int> prompt,
           const Options& options);

  // Ranges that no stage owns, merged, in order. Steps need there be none.
  std::vector<LayerRange> Gaps() const;
  // Puts `part` in for the gap `gap`. False, and nothing is changed, unless
  // it partitions a gap.
  bool Fill(const LayerRange& gap, const Chain& part);

  // Begins the next step and returns it. Needs Gaps() to be empty and no step
  // to be under way.
  StepRequest NextStep();
  ReplyVerdict OnReply(StepReply reply);

  // The step under way was refused, will not be answered, or is not believed:
  // its stage goes and leaves a gap. Gives that stage.
  OwnedStage RemoveCurrentStage();
  bool step_in_flight() const { return step_in_flight_; }
  // The endpoint and id of the step under way.
  const std::string& step_endpoint() const {
    return stages_[current_stage_].endpoint;
  }
  const StepId& step_id() const { return step_; }

  const std::string& request() const { return request_; }
  // Prompt and answer so far.
  const std::vector<int>& tokens() const { return tokens_; }
  size_t prompt_size() const { return prompt_size_; }
  // The last token's text and whether the model ended there.
  const std::string& last_text() const { return last_text_; }
  bool ended() const { return ended_; }

  // The stages now owned.
  const std::vector<OwnedStage>& stages() const { return stages_; }

  size_t journal_bytes() const { return journal_bytes_; }
  // Positions that surviving stages were asked to recompute.
  int recomputed() const { return recomputed_; }

 private:
  // Inputs that entered a layer, for positions [first, first + size).
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
  std::vector<OwnedStage> stages_;  // by range; gaps where some are missing
  std::map<int, Inputs> journal_;   // by the layer that was entered
  size_t journal_bytes_ = 0;
  uint32_t last_attempt_ = 0;
  bool step_in_flight_ = false;
  size_t current_stage_ = 0;  // the stage under way
  StepId step_;
  int step_input_count_ = 0;
  bool at_last_stage_ = false;
  std::string last_text_;
  bool ended_ = false;
  int recomputed_ = 0;
};

}  // namespace pinford

#endif  // PINFORD_CHAIN_RUN_H_
