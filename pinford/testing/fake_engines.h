// Engines in the test's own process, on its paused clock.
//
// An engine computes a toy model in which an activation is a hash of the
// layer's inputs at all positions so far. A layer that runs out of order,
// twice, or on the wrong cache therefore changes every later token. The engines
// record which layers ran, for CheckLayers(), and can be given faults.

#ifndef PINFORD_TESTING_FAKE_ENGINES_H_
#define PINFORD_TESTING_FAKE_ENGINES_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "pinford/endpoint.h"
#include "pinford/step_client.h"
#include "pinford/testing/toy_model.h"
#include "util/hash.h"
#include "util/paused_clock.h"

namespace pinford {

class FakeEngines {
 public:
  struct Engine {
    LoadReport report;
    bool dead = false;    // refuses connections
    bool frozen = false;  // accepts steps but answers none until Thaw()
    bool full = false;    // refuses steps as busy
    std::optional<Duration> backoff;  // requested by refusals as busy
    int refused = 0;                  // steps refused as busy
    double lose_reply = 0;    // share of replies lost after the step ran
    double repeat_reply = 0;  // share of replies delivered again, later
    Duration delay = milliseconds(1);
    std::map<ToyModel::SessionKey, ToyModel::Session> sessions;
    std::vector<std::function<void()>> queued;  // received while frozen
  };

  FakeEngines(PausedClock* clock, ToyModel model, uint64_t seed)
      : clock_(clock), model_(std::move(model)), random_(seed) {}

  // Adds an engine that holds `holds` of the model's layers.
  Engine& Add(const std::string& name, LayerRange holds);
  Engine& at(const std::string& name) { return engines_.at(name); }
  std::map<std::string, Engine>& all() { return engines_; }
  std::vector<ListedEndpoint> List() const;

  // Breaks every connection and drops every session.
  void Kill(const std::string& name);
  void Thaw(const std::string& name);

  // StepClient.
  uint64_t SendStep(const std::string& endpoint, const StepRequest& step,
                    std::function<void(StepResult)> fn);
  uint64_t SendTokenize(const std::string& endpoint, const std::string& text,
                        std::function<void(TokenizeResult)> fn);
  void CancelCall(uint64_t id) { calls_.erase(id); }
  void EndSession(const std::string& endpoint, const std::string& request,
                  uint32_t session);

  // All layer runs on all engines, in order.
  const std::vector<LayerRun>& runs() const { return runs_; }
  int refused_caches() const { return refused_caches_; }
  // Steps sent, whatever their result.
  int sent_steps() const { return sent_steps_; }

 private:
  struct Call {
    std::string endpoint;
    std::function<void(StepResult)> fn;
  };
  void Deliver(uint64_t id, StepResult result);
  void Arrive(uint64_t id, const std::string& endpoint, StepRequest step);
  StepResult Run(Engine& engine, const std::string& name,
                 const StepRequest& step);
  bool Chance(double p);

  PausedClock* clock_;
  ToyModel model_;
  Random random_;
  std::map<std::string, Engine> engines_;
  std::map<uint64_t, Call> calls_;
  uint64_t next_call_ = 1;
  std::vector<LayerRun> runs_;
  int refused_caches_ = 0;
  int sent_steps_ = 0;
};

static_assert(StepClient<FakeEngines>);

}  // namespace pinford

#endif  // PINFORD_TESTING_FAKE_ENGINES_H_
