// A small stand-in for the platform's load balancer: forwards connections
// round-robin to the boxes that were ready at the last check.

#ifndef PINFORD_TESTING_BALANCER_STANDIN_H_
#define PINFORD_TESTING_BALANCER_STANDIN_H_

#include <memory>
#include <vector>

#include "pinford/event_loop.h"
#include "pinford/http_client.h"
#include "util/address.h"

struct bufferevent;
struct evconnlistener;

namespace pinford {

class BalancerStandin {
 public:
  // Polls each box's /readyz every `interval`.
  BalancerStandin(EventLoop* loop, std::vector<Address> boxes,
                  Duration interval);
  ~BalancerStandin();

  bool Listen(const Address& address);

 private:
  struct ConnectionPair;

  void CheckReadiness();
  void Accept(int fd);
  static void OnRead(bufferevent* bev, void* arg);
  static void OnEvent(bufferevent* bev, short what, void* arg);

  EventLoop* loop_;
  HttpClient http_;
  std::vector<Address> boxes_;
  std::vector<bool> ready_;
  Duration interval_;
  size_t next_ = 0;
  evconnlistener* listener_ = nullptr;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_BALANCER_STANDIN_H_
