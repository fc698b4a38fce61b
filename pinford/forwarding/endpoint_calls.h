// Makes HTTP calls to endpoints (reports, orders), directly or through peers.
//
// A call that gets no answer is a failure of the endpoint or of this box's path
// to it, which EndpointPaths tells apart.
//
// Calls have no id by which their answers could be told apart, and a faulty
// endpoint may repeat an answer late. So a call that changes something, and
// each relayed one, uses a connection of its own.

#ifndef PINFORD_FORWARDING_ENDPOINT_CALLS_H_
#define PINFORD_FORWARDING_ENDPOINT_CALLS_H_

#include <functional>
#include <memory>
#include <string>

#include "pinford/event_loop.h"
#include "pinford/forwarding/endpoint_paths.h"
#include "pinford/forwarding/upstream_client.h"
#include "pinford/http_client.h"

namespace pinford {

// Makes a call to the named endpoint and calls back once with its result.
using EndpointSender = std::function<void(const std::string& endpoint, HttpCall,
                                          HttpClient::Callback)>;

class EndpointCalls {
 public:
  // All must outlive the object.
  EndpointCalls(EventLoop* loop, HttpClient* http, UpstreamClient* upstream,
                EndpointPaths* paths)
      : loop_(loop), http_(http), upstream_(upstream), paths_(paths) {}
  EndpointCalls(const EndpointCalls&) = delete;
  EndpointCalls& operator=(const EndpointCalls&) = delete;

  // Calls `fn` exactly once, never from within Send. `endpoint` is at
  // `call.to`.
  void Send(const std::string& endpoint, HttpCall call,
            HttpClient::Callback fn);

 private:
  struct RelayedCall;

  void SendDirectly(const std::string& endpoint, HttpCall call,
                    HttpClient::Callback fn);
  void SendRelayed(const std::string& endpoint, HttpCall call,
                   HttpClient::Callback fn);
  void TryNextPeer(const std::shared_ptr<RelayedCall>& relayed);

  EventLoop* loop_;
  HttpClient* http_;
  UpstreamClient* upstream_;
  EndpointPaths* paths_;
};

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ENDPOINT_CALLS_H_
