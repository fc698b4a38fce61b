// The callers' HTTP interface: completions, models, and calls to services
// (service_api.h).
//
// docs/INTERFACES.md describes the interface. Every response carries the
// request's id and its outcome. A request that cannot be served gets its error
// response at once, with Retry-After if a retry can succeed.

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
  explicit CallerApi(BoxContext* context);
  ~CallerApi();

  void OnRequest(ExchangePtr exchange);

  // Starts queued requests for which slots are free and refuses those that
  // waited too long. Must be called often.
  void Tick();

  // Requests without a finished response, including calls to services.
  int active() const { return active_ + calls_.active(); }
  int running() const { return running_; }
  int waiting() const;

  // Sets the policy's weight of each hall, by model.
  void set_hall_weights(
      std::map<std::string, std::map<std::string, double>> weights) {
    hall_weights_ = std::move(weights);
  }
  void set_ready(bool ready) { ready_ = ready; }

 private:
  struct Completion;
  // Queued and running requests for one model.
  struct Pool {
    Admission admission;
    int running = 0;
  };
  using Driver = CompletionDriver<EngineClient, EventLoop>;

  void OnCompletion(CompletionForm form, ExchangePtr exchange);
  void OnModels(ExchangePtr exchange);

  void Admit(const std::shared_ptr<Completion>& c);
  bool CanStart(const std::string& model, const Pool& pool);
  void StartQueued(const std::string& model, Pool* pool);
  // Subtracts its prompt from the bytes of queued prompts.
  void ReleaseWaitingBytes(Completion* c);
  void StartCompletion(const std::shared_ptr<Completion>& c);
  void OnToken(Completion* c, std::string_view text);
  void OnEnd(Completion* c, const CompletionEnd& end);
  void OnDisconnect(const std::shared_ptr<Completion>& c);
  void Respond(Completion* c, const CompletionEnd& end);
  void Refuse(Completion* c, int status, std::string_view code,
              std::string_view message, Duration retry_after);
  // Records the end of a completion, for any reason, and releases it.
  void Close(Completion* c, Outcome outcome, const std::string& detail);

  BoxContext* context_;
  ServiceApi calls_;
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
