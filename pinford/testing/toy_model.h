// A model that is small enough to check by hand and in which every execution
// error changes the output.
//
// Layer l at position p maps its inputs x[0..p] to a hash of (version, l, state
// after position p), where the state folds the inputs in order. The token after
// position p is a digest of the last layer's output there. Answer() computes
// the same tokens in one place, without caches, ranges or messages.

#ifndef PINFORD_TESTING_TOY_MODEL_H_
#define PINFORD_TESTING_TOY_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pinford/pipeline.h"

namespace pinford {

// One run of a layer for one position, as recorded by an engine.
struct LayerRun {
  std::string endpoint;
  std::string request;
  uint32_t session = 0;
  int layer = 0;
  int position = 0;
  bool recomputed = false;  // output only; the cache did not change
};

class ToyModel {
 public:
  using SessionKey = std::pair<std::string, uint32_t>;  // request, session

  // The cache of a range of layers: for each layer, the state after each
  // position.
  struct Session {
    LayerRange range;
    std::vector<std::vector<uint64_t>> states;  // [layer - begin][position]
    int positions() const {
      return states.empty() ? 0 : static_cast<int>(states[0].size());
    }
  };

  std::string name = "toy";
  std::string version = "v1";
  int layers = 8;
  // The model ends an answer at a token that is a multiple of this; 0: never.
  int end_every = 0;

  std::vector<int> Tokenize(const std::string& text) const;
  std::string TokenText(int token) const;

  // Runs `step` on `session` and appends to its cache. Returns nullopt, with
  // the cache unchanged, if the cache is not as the step states. Appends the
  // layer runs to `runs` unless it is null.
  std::optional<StepReply> Run(const StepRequest& step, Session* session,
                               const std::string& endpoint,
                               std::vector<LayerRun>* runs) const;

  // The answer to `prompt`, of at most `max_tokens` tokens.
  std::vector<int> Answer(const std::string& prompt, int max_tokens) const;
  std::string AnswerText(const std::string& prompt, int max_tokens) const;

 private:
  uint64_t Embed(int token) const;
  uint64_t Output(int layer, uint64_t state) const;
  int TokenOf(uint64_t last) const;
  bool Ends(int token) const { return end_every > 0 && token % end_every == 0; }
};

// The state after one more input.
uint64_t FoldState(uint64_t state, uint64_t input);

}  // namespace pinford

#endif  // PINFORD_TESTING_TOY_MODEL_H_
