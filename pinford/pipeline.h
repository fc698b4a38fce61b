// The structure of a pipeline: layer ranges, stages and chains, and the step
// that a stage runs.
//
// A model has layers [0, L). An endpoint holds a contiguous range of one
// version's layers and may run any part of it. A chain is a list of stages
// whose ranges, in order, partition [0, L): each layer has one owner.

#ifndef PINFORD_PIPELINE_H_
#define PINFORD_PIPELINE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pinford {

// Layers [begin, end).
struct LayerRange {
  int begin = 0;
  int end = 0;

  int size() const { return end - begin; }
  bool empty() const { return begin >= end; }
  bool Contains(const LayerRange& r) const {
    return begin <= r.begin && r.end <= end;
  }
  friend bool operator==(const LayerRange&, const LayerRange&) = default;
};

// One endpoint's part of a chain.
struct Stage {
  std::string endpoint;
  LayerRange range;
  friend bool operator==(const Stage&, const Stage&) = default;
};

using Chain = std::vector<Stage>;

// Whether the ranges of `chain`, in order, partition `whole`.
bool Partitions(const Chain& chain, const LayerRange& whole);

// "NAME:BEGIN-END NAME:BEGIN-END ...", for logs.
std::string ChainText(const Chain& chain);

// Identifies a step in its request and its reply. A reply is accepted only if
// all fields equal those of the step that the box is waiting for.
struct StepId {
  std::string request;
  // Counts the box's sends of this request; unique for each step.
  uint32_t attempt = 0;
  // Identifies this stage's cache on its endpoint, together with the request.
  // Never reused once the stage is lost.
  uint32_t session = 0;
  // Position of the first input.
  int position = 0;
  LayerRange range;
  friend bool operator==(const StepId&, const StepId&) = default;
};

// Runs `id.range` over the positions [id.position, id.position + inputs).
struct StepRequest {
  StepId id;
  // The model that the layers belong to. An endpoint that now holds another
  // model or version refuses, so that no answer mixes versions.
  std::string model;
  std::string version;
  // How many positions the session's cache holds before this step. Positions
  // below this are recomputed for their outputs only and do not change the
  // cache; positions from this on are appended. An endpoint whose cache differs
  // refuses.
  int cached = 0;
  std::vector<int> tokens;               // inputs of the first stage
  std::vector<std::string> activations;  // inputs of any other stage
  bool last = false;                     // the chain ends here: return a token
  int priority = 0;                      // 0 is the most urgent

  int inputs() const {
    return static_cast<int>(tokens.size() + activations.size());
  }
};

struct StepReply {
  StepId id;
  std::vector<std::string> activations;  // one per input, unless last
  int token = 0;                         // of the last stage
  std::string text;                      // that token's text
  bool end = false;                      // the model ends its answer here
};

}  // namespace pinford

#endif  // PINFORD_PIPELINE_H_
