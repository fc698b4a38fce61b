// Plain services over HTTP. A ServiceClient.
//
// A service that refuses a call before it began answers 503 or 429 with
// {"started": false, "error": {"code": "leaving" or "busy"}}. Without that
// word any answer counts as an answer.

#ifndef PINFORD_HTTP_SERVICE_CLIENT_H_
#define PINFORD_HTTP_SERVICE_CLIENT_H_

#include <functional>
#include <string>

#include "pinford/endpoint_table.h"
#include "pinford/http_client.h"
#include "pinford/service_client.h"

namespace pinford {

class PlainClient {
 public:
  PlainClient(HttpClient* http, const EndpointTable* table)
      : http_(http), table_(table) {}

  // ServiceClient.
  uint64_t SendCall(const std::string& endpoint, const ServiceCall& call,
                    bool once, std::function<void(CallResult)> fn);
  void CancelCall(uint64_t id) { http_->Cancel(id); }

 private:
  HttpClient* http_;
  const EndpointTable* table_;
};

static_assert(ServiceClient<PlainClient>);

}  // namespace pinford

#endif  // PINFORD_HTTP_SERVICE_CLIENT_H_
