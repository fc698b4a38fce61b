// Endpoint on raw sockets on the test's own event loop, with responses scripted
// byte for byte.

#ifndef PINFORD_TESTING_RAW_ENDPOINT_H_
#define PINFORD_TESTING_RAW_ENDPOINT_H_

#include <event2/listener.h>
#include <netinet/in.h>

#include <memory>
#include <string>
#include <vector>

#include "pinford/tcp_connection.h"

namespace pinford {

class RawEndpoint {
 public:
  // What to do once a request's head has been received on a connection.
  struct Step {
    std::string answer;
    enum class Then {
      kKeep,
      kClose,
      kReset,
      kResetUnread,  // reads nothing after the head, and resets
    } then = Then::kKeep;
    Duration delay{};  // before the answer
  };

  explicit RawEndpoint(EventLoop* loop) : loop_(loop) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = 0;  // any free port
    listener_ = evconnlistener_new_bind(
        loop->base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
          static_cast<RawEndpoint*>(arg)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  ~RawEndpoint() { evconnlistener_free(listener_); }
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  Address address() const { return {"127.0.0.1", port_}; }

  // Continues a response, on the newest connection.
  void WriteMore(const std::string& bytes) { accepted_.back()->Write(bytes); }

  // Sends the last answer on a connection, counted from 0, once more.
  void RepeatAnswer(size_t connection) {
    accepted_[connection]->Write(last_answers_[connection]);
  }

  // Bytes of the newest connection's answers that its peer has not accepted.
  size_t unsent() const { return accepted_.back()->unsent(); }

  // Resets all connections, as if the process had crashed.
  void ResetAll() {
    for (const auto& tcp : accepted_) tcp->Reset();
  }

  std::vector<Step> steps;            // for the requests in order
  std::vector<std::string> requests;  // as received
  int connections = 0;
  int ended = 0;  // connections closed by the peer

 private:
  void Accept(int fd) {
    connections++;
    std::shared_ptr<TcpConnection> tcp =
        TcpConnection::Accept(loop_, fd, seconds(4));
    accepted_.push_back(tcp);
    last_answers_.emplace_back();
    const size_t connection = accepted_.size() - 1;
    auto text = std::make_shared<std::string>();
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [this, connection, text](std::string_view bytes) {
      *text += bytes;
      if (text->find("\r\n\r\n") == std::string::npos) return;
      requests.push_back(std::exchange(*text, ""));
      if (requests.size() > steps.size()) return;
      const Step& step = steps[requests.size() - 1];
      if (step.delay == Duration(0)) {
        Answer(connection, step);
      } else {
        loop_->After(step.delay,
                     [this, connection, step] { Answer(connection, step); });
      }
    };
    handlers.on_end = [this](TcpEnd) { ended++; };
    tcp->set_handlers(std::move(handlers));
  }

  void Answer(size_t connection, const Step& step) {
    TcpConnection* tcp = accepted_[connection].get();
    last_answers_[connection] = step.answer;
    if (step.then == Step::Then::kResetUnread) tcp->PauseReading(true);
    tcp->Write(step.answer);
    if (step.then == Step::Then::kClose) tcp->CloseGracefully();
    if (step.then == Step::Then::kReset ||
        step.then == Step::Then::kResetUnread) {
      loop_->After(milliseconds(20), [tcp] { tcp->Reset(); });
    }
  }

  EventLoop* loop_;
  uint16_t port_;
  evconnlistener* listener_;
  std::vector<std::shared_ptr<TcpConnection>> accepted_;
  std::vector<std::string> last_answers_;  // by connection
};

}  // namespace pinford

#endif  // PINFORD_TESTING_RAW_ENDPOINT_H_
