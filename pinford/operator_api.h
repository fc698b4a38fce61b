// HTTP for operators, on an address of its own.
//
//   GET  /v1/configuration        the one in force
//   POST /v1/configuration        submit a new one
//   GET  /v1/submissions?id=ID    what became of a submission
//   GET  /v1/timeline?request=ID  events of all boxes, merged
//   GET  /v1/boxes                the boxes as this one sees them
//   GET  /v1/endpoints            the endpoints as this one sees them
//   GET  /metrics, /healthz, /readyz      without a key
//
// All but the last line ask for "Authorization: Bearer KEY".

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
  OperatorApi(BoxContext* parts, Documents* documents, PeerLink* link);

  void OnRequest(ExchangePtr exchange);

  // Asked for before the metrics are written.
  void set_refresh_metrics(std::function<void()> fn) {
    refresh_metrics_ = std::move(fn);
  }
  void set_ready(std::function<bool()> fn) { ready_ = std::move(fn); }

 private:
  using Handler = void (OperatorApi::*)(ExchangePtr);
  struct Route {
    HttpMethod method;
    const char* path;
    bool open;  // asks for no key
    Handler handler;
  };
  static const Route kRoutes[];

  bool HasKey(const HttpExchange& exchange) const;
  void ShowConfiguration(ExchangePtr exchange);
  void Submit(ExchangePtr exchange);
  void AnswerSubmission(const ExchangePtr& exchange,
                        const SubmissionResult& result);
  void ShowSubmission(ExchangePtr exchange);
  void ShowTimeline(ExchangePtr exchange);
  void ShowBoxes(ExchangePtr exchange);
  void ShowEndpoints(ExchangePtr exchange);
  void ShowMetrics(ExchangePtr exchange);
  void ShowHealth(ExchangePtr exchange);
  void ShowReady(ExchangePtr exchange);

  BoxContext* parts_;
  Documents* documents_;
  PeerLink* link_;
  std::function<void()> refresh_metrics_;
  std::function<bool()> ready_;
};

}  // namespace pinford

#endif  // PINFORD_OPERATOR_API_H_
