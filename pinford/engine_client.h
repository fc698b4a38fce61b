// Calls engines over HTTP. Implements StepClient and OrderClient.

#ifndef PINFORD_ENGINE_CLIENT_H_
#define PINFORD_ENGINE_CLIENT_H_

#include <functional>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/http_client.h"
#include "pinford/order.h"
#include "pinford/step_client.h"

namespace pinford {

class EngineClient {
 public:
  EngineClient(HttpClient* http, const EndpointTable* table)
      : http_(http), table_(table) {}

  // StepClient. The driver cancels calls at its own deadline, so the timeout
  // here is only a safety limit.
  uint64_t SendStep(const std::string& endpoint, const StepRequest& step,
                    std::function<void(StepResult)> fn);
  uint64_t SendTokenize(const std::string& endpoint, const std::string& text,
                        std::function<void(TokenizeResult)> fn);
  void CancelCall(uint64_t id) { http_->Cancel(id); }
  // OrderClient.
  void SendOrder(const std::string& runner, const Order& order,
                 Duration max_wait, std::function<void(OrderStatus)> fn);
  void EndSession(const std::string& endpoint, const std::string& request,
                  uint32_t session);

 private:
  HttpCall Call(const std::string& endpoint, HttpMethod method,
                std::string target, std::string body) const;

  HttpClient* http_;
  const EndpointTable* table_;
};

static_assert(StepClient<EngineClient>);
static_assert(OrderClient<EngineClient>);

}  // namespace pinford

#endif  // PINFORD_ENGINE_CLIENT_H_
