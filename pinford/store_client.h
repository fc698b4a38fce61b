// Client of the platform's key-value service, over HTTP. Implements Store.
//
//   GET  /v1/kv?key=K                       200 {value, revision}, 404
//   GET  /v1/kv?key=K&after=R&wait_ms=N     the same, or 204 after N ms
//   POST /v1/cas    {key, revision, value}  200 {revision}, 409 {value,
//                                           revision}
//   POST /v1/lease  {key, holder, ttl_ms}   200 {token}, 409 {holder, token}
//
// While the service is unreachable, one call per `probe_interval` is sent and
// the others fail at once as not sent. So callers do not wait during an outage,
// and the service is not flooded when it recovers.

#ifndef PINFORD_STORE_CLIENT_H_
#define PINFORD_STORE_CLIENT_H_

#include <functional>
#include <string>

#include "pinford/http_client.h"
#include "pinford/store.h"

namespace pinford {

class StoreClient {
 public:
  struct Options {
    Duration call_timeout = milliseconds(1000);
    Duration probe_interval = milliseconds(500);
  };

  StoreClient(EventLoop* loop, HttpClient* http, Address address,
              const Options& options);

  // Store.
  void Get(const std::string& key, StoreCallback fn);
  void CompareAndSwap(const std::string& key, StoreRevision revision,
                      const std::string& value, StoreCallback fn);
  void Watch(const std::string& key, StoreRevision revision, Duration d,
             StoreCallback fn);
  void AcquireLease(const std::string& key, const std::string& holder,
                    Duration ttl, StoreCallback fn);

  bool down() const { return down_; }
  // Called when the service becomes unreachable, and when it is reachable
  // again.
  void set_on_change(std::function<void(bool down)> fn) {
    on_change_ = std::move(fn);
  }
  int64_t calls() const { return calls_; }

 private:
  void Send(HttpCall call, StoreCallback fn);
  void SetReachable(bool reachable);

  EventLoop* loop_;
  HttpClient* http_;
  Address address_;
  Options options_;
  bool down_ = false;
  Time next_probe_{};
  int64_t calls_ = 0;
  std::function<void(bool)> on_change_;
};

static_assert(Store<StoreClient>);

}  // namespace pinford

#endif  // PINFORD_STORE_CLIENT_H_
