#include "pinford/testing/balancer_standin.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pinford {

// The caller's and the box's side of one forwarded connection.
struct BalancerStandin::ConnectionPair {
  bufferevent* ends[2];

  bufferevent* OtherOf(bufferevent* bev) const {
    return ends[0] == bev ? ends[1] : ends[0];
  }
  void Free() {
    for (bufferevent* end : ends) bufferevent_free(end);
    delete this;
  }
};

BalancerStandin::BalancerStandin(EventLoop* loop, std::vector<Address> boxes,
                                 Duration interval)
    : loop_(loop),
      http_(loop, HttpClient::Options()),
      boxes_(std::move(boxes)),
      ready_(boxes_.size(), false),
      interval_(interval) {}

BalancerStandin::~BalancerStandin() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
}

bool BalancerStandin::Listen(const Address& address) {
  sockaddr_storage at;
  int size = sizeof(at);
  auto* sa = reinterpret_cast<sockaddr*>(&at);
  const std::string text = address.ToString();
  if (evutil_parse_sockaddr_port(text.c_str(), sa, &size) != 0) return false;
  constexpr int kBacklog = 512;
  listener_ = evconnlistener_new_bind(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
        static_cast<BalancerStandin*>(arg)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog, sa, size);
  if (listener_ == nullptr) return false;
  CheckReadiness();
  loop_->Every(interval_, [this] { CheckReadiness(); });
  return true;
}

void BalancerStandin::CheckReadiness() {
  for (size_t i = 0; i < boxes_.size(); i++) {
    HttpCall call;
    call.to = boxes_[i];
    call.target = "/readyz";
    call.timeout = seconds(1);
    call.fresh_connection = true;
    http_.Send(std::move(call),
               [this, i](HttpResult r) { ready_[i] = r.ok(); });
  }
}

void BalancerStandin::Accept(int fd) {
  for (size_t tried = 0; tried < boxes_.size(); tried++) {
    const size_t i = next_++ % boxes_.size();
    if (!ready_[i]) continue;
    auto* pair = new ConnectionPair;
    sockaddr_storage at;
    int size = sizeof(at);
    auto* sa = reinterpret_cast<sockaddr*>(&at);
    evutil_parse_sockaddr_port(boxes_[i].ToString().c_str(), sa, &size);
    pair->ends[0] =
        bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
    pair->ends[1] =
        bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (bufferevent* end : pair->ends) {
      bufferevent_setcb(end, OnRead, nullptr, OnEvent, pair);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    if (bufferevent_socket_connect(pair->ends[1], sa, size) != 0) pair->Free();
    return;
  }
  close(fd);
}

void BalancerStandin::OnRead(bufferevent* bev, void* arg) {
  auto* pair = static_cast<ConnectionPair*>(arg);
  evbuffer_add_buffer(bufferevent_get_output(pair->OtherOf(bev)),
                      bufferevent_get_input(bev));
}

void BalancerStandin::OnEvent(bufferevent* bev, short what, void* arg) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  auto* pair = static_cast<ConnectionPair*>(arg);
  bufferevent* other = pair->OtherOf(bev);
  // The other side still receives what this one sent before it closed.
  if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
    pair->Free();
    return;
  }
  bufferevent_disable(bev, EV_READ);
  bufferevent_setcb(
      other, nullptr,
      [](bufferevent*, void* p) { static_cast<ConnectionPair*>(p)->Free(); },
      [](bufferevent*, short, void* p) {
        static_cast<ConnectionPair*>(p)->Free();
      },
      pair);
  bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
}

}  // namespace pinford
