#include "pinford/testing/fake_engines.h"

namespace pinford {

FakeEngines::Engine& FakeEngines::Add(const std::string& name,
                                      LayerRange holds) {
  Engine& engine = engines_[name];
  engine.report.incarnation = 1;
  engine.report.slots = 64;
  engine.report.model = model_.name;
  engine.report.version = model_.version;
  engine.report.layers = model_.layers;
  engine.report.holds = holds;
  engine.report.layer_seconds = 0.0001;
  return engine;
}

std::vector<ListedEndpoint> FakeEngines::List() const {
  std::vector<ListedEndpoint> list;
  for (const auto& [name, engine] : engines_) {
    ListedEndpoint e;
    e.name = name;
    e.hall = "a";
    e.address = {"127.0.0.1", 1};
    e.incarnation = engine.report.incarnation;
    list.push_back(e);
  }
  return list;
}

bool FakeEngines::Chance(double p) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

void FakeEngines::Deliver(uint64_t id, StepResult result) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  std::function<void(StepResult)> fn = std::move(it->second.fn);
  calls_.erase(it);
  fn(std::move(result));
}

void FakeEngines::Kill(const std::string& name) {
  Engine& engine = engines_.at(name);
  engine.dead = true;
  engine.sessions.clear();
  engine.queued.clear();
  for (const auto& [id, call] : std::map<uint64_t, Call>(calls_)) {
    if (call.endpoint != name) continue;
    clock_->After(Duration(0), [this, id = id] { Deliver(id, StepResult()); });
  }
}

void FakeEngines::Thaw(const std::string& name) {
  Engine& engine = engines_.at(name);
  engine.frozen = false;
  std::vector<std::function<void()>> queued;
  queued.swap(engine.queued);
  for (auto& fn : queued) fn();
}

StepResult FakeEngines::Run(Engine& engine, const std::string& name,
                            const StepRequest& step) {
  StepResult result;
  ToyModel::SessionKey key(step.id.request, step.id.session);
  const bool new_session = !engine.sessions.contains(key);
  if (!engine.report.holds.Contains(step.id.range) ||
      engine.report.version != step.version) {
    result.status = StepStatus::kRefusedRange;
    return result;
  }
  if (engine.full) {
    engine.refused++;
    result.status = StepStatus::kRefusedBusy;
    result.backoff = engine.backoff;
    return result;
  }
  if (new_session && engine.report.leaving) {
    result.status = StepStatus::kRefusedLeaving;
    return result;
  }
  ToyModel model = model_;
  model.version = engine.report.version;
  std::optional<StepReply> reply =
      model.Run(step, &engine.sessions[key], name, &runs_);
  if (!reply) {
    refused_caches_++;
    result.status = StepStatus::kRefusedCache;
    return result;
  }
  result.status = StepStatus::kOk;
  result.reply = std::move(*reply);
  return result;
}

void FakeEngines::Arrive(uint64_t id, const std::string& endpoint,
                         StepRequest step) {
  Engine& engine = engines_.at(endpoint);
  if (engine.dead) {
    Deliver(id, StepResult());
    return;
  }
  if (engine.frozen) {
    engine.queued.push_back(
        [this, id, endpoint, step] { Arrive(id, endpoint, step); });
    return;
  }
  StepResult result = Run(engine, endpoint, step);
  if (Chance(engine.lose_reply)) result = StepResult();
  if (Chance(engine.repeat_reply)) {
    // The duplicate is delivered as the reply to whichever call to this
    // endpoint is pending by then.
    clock_->After(engine.delay * 3, [this, endpoint, result] {
      for (const auto& [other, call] : calls_) {
        if (call.endpoint != endpoint) continue;
        Deliver(other, result);
        break;
      }
    });
  }
  clock_->After(engine.delay, [this, id, result] { Deliver(id, result); });
}

uint64_t FakeEngines::SendStep(const std::string& endpoint,
                               const StepRequest& step,
                               std::function<void(StepResult)> fn) {
  const uint64_t id = next_call_++;
  sent_steps_++;
  calls_[id] = {endpoint, std::move(fn)};
  Engine& engine = engines_.at(endpoint);
  if (engine.dead) {
    clock_->After(Duration(0), [this, id] {
      StepResult result;
      result.status = StepStatus::kNotSent;
      Deliver(id, result);
    });
    return id;
  }
  clock_->After(engine.delay,
                [this, id, endpoint, step] { Arrive(id, endpoint, step); });
  return id;
}

uint64_t FakeEngines::SendTokenize(const std::string& endpoint,
                                   const std::string& text,
                                   std::function<void(TokenizeResult)> fn) {
  const uint64_t id = next_call_++;
  calls_[id] = {endpoint, [fn, text, this](StepResult step) {
                  TokenizeResult result;
                  result.status = step.status;
                  if (step.status == StepStatus::kOk) {
                    result.tokens = model_.Tokenize(text);
                  }
                  fn(std::move(result));
                }};
  Engine& engine = engines_.at(endpoint);
  StepResult result;
  result.status = engine.dead ? StepStatus::kNotSent : StepStatus::kOk;
  if (engine.frozen) {
    engine.queued.push_back([this, id, result] { Deliver(id, result); });
  } else {
    clock_->After(engine.delay, [this, id, result] { Deliver(id, result); });
  }
  return id;
}

void FakeEngines::EndSession(const std::string& endpoint,
                             const std::string& request, uint32_t session) {
  Engine& engine = engines_.at(endpoint);
  if (!engine.dead) engine.sessions.erase({request, session});
}

}  // namespace pinford
