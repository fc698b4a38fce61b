// HTTP for callers: completions, and the way to plain calls (service_api.h).
//
// docs/INTERFACES.md describes the interface. Every answer carries the
// request's id and its outcome. A request that is given up gets its answer
// at once, with Retry-After where it makes sense to come back.

#ifndef PINFORD_CALLER_API_H_
#define PINFORD_CALLER_API_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "pinford/admission.h"
#include "pinford/box_context.h"
#include "pinford/caller_request.h"
#include "pinford/caller_response.h"
#include "pinford/completion_driver.h"
#include "pinford/http_server.h"
#include "pinford/service_api.h"

namespace pinford {

class CallerApi {
 public:
  explicit CallerApi(BoxContext* parts);
  ~CallerApi();

  void OnRequest(ExchangePtr exchange);

  // Starts what may start, refuses what waits too long. Call it often.
  void Tick();

  // Requests whose answer is not finished, plain calls among them.
  int active() const { return active_ + calls_.active(); }
  int running() const { return running_; }
  int waiting() const;

  // By the policy, the weight of each hall for a model.
  void set_hall_weights(
      std::map<std::string, std::map<std::string, double>> weights) {
    hall_weights_ = std::move(weights);
  }
  void set_ready(bool ready) { ready_ = ready; }

 private:
  struct Completion;
  // The requests for one model.
  struct Pool {
    Admission admission;
    int running = 0;
  };
  using Driver = CompletionDriver<EngineClient, EventLoop>;

  void OnCompletion(CompletionForm form, ExchangePtr exchange);
  void OnModels(ExchangePtr exchange);

  void Admit(const std::shared_ptr<Completion>& c);
  bool MayStart(const std::string& model, const Pool& pool);
  void Pump(const std::string& model, Pool* pool);
  // Its prompt no longer counts among those that wait.
  void StopWaiting(Completion* c);
  void Begin(const std::shared_ptr<Completion>& c);
  void OnToken(Completion* c, std::string_view text);
  void OnEnd(Completion* c, const CompletionEnd& end);
  void OnHangUp(const std::shared_ptr<Completion>& c);
  void Answer(Completion* c, const CompletionEnd& end);
  void Refuse(Completion* c, int status, std::string_view code,
              std::string_view message, Duration retry_after);
  // The completion is over, whatever the reason.
  void Close(Completion* c, Outcome outcome, const std::string& detail);

  BoxContext* parts_;
  CallApi calls_;
  bool ready_ = false;
  int active_ = 0;
  int running_ = 0;
  size_t waiting_bytes_ = 0;
  uint64_t next_item_ = 1;
  std::map<std::string, Pool> pools_;
  std::map<uint64_t, std::shared_ptr<Completion>> completions_;
  std::map<std::string, std::map<std::string, double>> hall_weights_;
};

}  // namespace pinford

#endif  // PINFORD_CALLER_API_H_
