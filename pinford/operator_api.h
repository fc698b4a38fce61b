// The operators' HTTP interface, on an address of its own.
//
//   GET  /v1/configuration        the configuration in force
//   POST /v1/configuration        submits a new one
//   GET  /v1/submissions?id=ID    the status of a submission
//   GET  /v1/timeline?request=ID  events of all boxes, merged
//   GET  /v1/boxes                all boxes, as this box sees them
//   GET  /v1/endpoints            all endpoints, as this box sees them
//   GET  /metrics, /healthz, /readyz      without a key
//
// All but the last line require "Authorization: Bearer KEY".

#ifndef PINFORD_OPERATOR_API_H_
#define PINFORD_OPERATOR_API_H_

#include <functional>
#include <memory>
#include <string>

#include "pinford/box_context.h"
#include "pinford/documents.h"
#include "pinford/http_server.h"
#include "pinford/peer_link.h"
#include "pinford/submission.h"

namespace pinford {

class OperatorApi {
 public:
  OperatorApi(BoxContext* context, Documents* documents, PeerLink* link);

  void OnRequest(ExchangePtr exchange);

  // Called before the metrics are written.
  void set_refresh_metrics(std::function<void()> fn) {
    refresh_metrics_ = std::move(fn);
  }
  void set_ready(std::function<bool()> fn) { ready_ = std::move(fn); }

 private:
  using Handler = void (OperatorApi::*)(ExchangePtr);
  struct Route {
    HttpMethod method;
    const char* path;
    bool is_public;  // requires no key
    Handler handler;
  };
  static const Route kRoutes[];

  bool IsAuthorized(const HttpExchange& exchange) const;
  void ShowConfiguration(ExchangePtr exchange);
  void Submit(ExchangePtr exchange);
  void ReplySubmission(const ExchangePtr& exchange,
                       const SubmissionResult& result);
  void ShowSubmission(ExchangePtr exchange);
  void ShowTimeline(ExchangePtr exchange);
  void ShowBoxes(ExchangePtr exchange);
  void ShowEndpoints(ExchangePtr exchange);
  void ShowMetrics(ExchangePtr exchange);
  void ShowHealth(ExchangePtr exchange);
  void ShowReady(ExchangePtr exchange);

  BoxContext* context_;
  Documents* documents_;
  PeerLink* link_;
  std::function<void()> refresh_metrics_;
  std::function<bool()> ready_;
};

}  // namespace pinford

#endif  // PINFORD_OPERATOR_API_H_
