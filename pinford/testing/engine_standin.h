// A small stand-in for a model engine, over HTTP.
//
// It implements the protocol of engine_protocol.h and computes the toy model
// over the layers that it holds. A step takes layers * layer_us, plus 1/16 of
// that for each further position, independently of other sessions: as with
// continuous batching, up to `slots` sessions share the machine. GET /records
// returns every layer run. GET /offers returns the number of new sessions that
// were offered since it started leaving, and how long after that the last one
// arrived. POST /faults sets the faults of standin_faults.h, and:
//   report_lag_ms  how old the load reports are that it returns
// An order to hold other layers takes effect once the last session has ended;
// until then new sessions are refused as busy.

#ifndef PINFORD_TESTING_ENGINE_STANDIN_H_
#define PINFORD_TESTING_ENGINE_STANDIN_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pinford/endpoint.h"
#include "pinford/event_loop.h"
#include "pinford/http_server.h"
#include "pinford/order.h"
#include "pinford/pipeline.h"
#include "pinford/testing/standin_faults.h"
#include "pinford/testing/toy_model.h"

namespace pinford {

class EngineStandin {
 public:
  struct Options {
    std::string name;
    ToyModel model;
    LayerRange holds;
    int slots = 64;
    Duration layer_time = microseconds(200);
    bool records = true;
    bool checks_fence = false;
  };

  EngineStandin(EventLoop* loop, const Options& options);

  bool Listen(const Address& address) { return server_.Listen(address); }

 private:
  void OnRequest(ExchangePtr exchange);
  void Serve(const ExchangePtr& exchange);
  void HandleStep(const ExchangePtr& exchange);
  void SendReply(const ExchangePtr& exchange, const StepReply& reply);
  void HandleTokenize(const ExchangePtr& exchange);
  void HandleLoad(const ExchangePtr& exchange);
  void HandleRecords(const ExchangePtr& exchange);
  void HandleOrder(const ExchangePtr& exchange);
  // Applies the pending order if no session is left.
  void ApplyOrder();
  void HandleOffers(const ExchangePtr& exchange);
  void HandleFaults(const ExchangePtr& exchange);
  LoadReport CurrentReport() const;

  EventLoop* loop_;
  Options options_;
  HttpServer server_;
  uint64_t incarnation_;
  std::map<ToyModel::SessionKey, ToyModel::Session> sessions_;
  std::vector<LayerRun> runs_;
  StandinFaults faults_;
  Duration report_lag_{};
  Time leaving_since_{};
  Time last_offer_{};
  int offers_ = 0;  // of new sessions, since it started leaving
  uint64_t highest_token_ = 0;
  std::optional<Holding> pending_order_;
  std::deque<std::pair<Time, LoadReport>> reports_;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_ENGINE_STANDIN_H_
