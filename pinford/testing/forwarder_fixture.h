// A forwarder between a caller's socket and two endpoints' sockets, all on one
// event loop, and the responses of such endpoints.

#ifndef PINFORD_TESTING_FORWARDER_FIXTURE_H_
#define PINFORD_TESTING_FORWARDER_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pinford/forwarding/forwarder.h"
#include "pinford/testing/free_ports.h"
#include "pinford/testing/raw_endpoint.h"

namespace pinford {

inline std::string Sealed(const std::string& id, const std::string& body,
                          const std::string& more = "", int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Pinford-Request: " + id + "\r\nX-Seal: s\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Refused() {
  return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

// The same, with the request's id and the stage at fault.
inline std::string RefusedById(const std::string& id, const Address& stage) {
  return "HTTP/1.1 503 Full\r\nX-Pinford-Request: " + id +
         "\r\nX-Not-Run: 1\r\nX-At-Fault: " + stage.ToString() +
         "\r\nContent-Length: 0\r\n\r\n";
}

inline std::string StreamHead(const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\nX-Pinford-Request: 1\r\nX-Seal: s\r\n"
         "Content-Type: text/event-stream\r\n" +
         more + "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string Chunk(const std::string& text) {
  char size[16];
  snprintf(size, sizeof(size), "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// The forwarding path of a box, with two endpoints of one plain service.
class ForwarderFixture {
 public:
  ForwarderFixture()
      : a(&loop),
        b(&loop),
        upstream(&loop, Options()),
        table("h", TableOptions(), Random(1)),
        retries(Time{}, RetryShare::Options()),
        random(1),
        crashes(CrashLedger::Options(), Random(1)),
        context{&loop,
                &upstream,
                &table,
                &retries,
                &metrics,
                &random,
                {},
                [](const RequestFacts&) { return RequestClass(); },
                [](const std::string&, const std::string&) { return 1.0; },
                [this] { return config_fresh; },
                [] { return Duration(0); },
                {},
                [this] { callers_waiting++; },
                {},
                [this](const std::string& name, uint64_t incarnation) {
                  leaving_reports.emplace_back(name, incarnation);
                  table.OnLeaving(name, incarnation);
                },
                {},
                {},
                "fingerprint key",
                &crashes,
                {}},
        forwarder(&context),
        server(&loop, CallerServer::Limits(), [this](CallerExchangePtr e) {
          forwarder.Handle(std::move(e));
        }) {
    address = {"127.0.0.1", static_cast<uint16_t>(FreePorts(1)[0])};
    EXPECT_TRUE(server.Listen(address));
    SetEndpoints({"a", "b"});
    auto c = std::make_shared<ServiceConfiguration>();
    c->version = 1;
    c->customers = {{{"customer", {"key"}, {}}}};
    c->services = {{"plain", 0, {}}};
    const struct {
      const char* prefix;
      RequestKind kind;
      bool resumable = true;
    } routes[] = {{"/get/", RequestKind::kIdempotent},
                  {"/once/", RequestKind::kAtMostOnce},
                  {"/stream/", RequestKind::kStream},
                  {"/stream-once/", RequestKind::kStream, false}};
    for (const auto& r : routes) {
      Route route;
      route.host = "h";
      route.prefix = r.prefix;
      route.kind = r.kind;
      route.resumable = r.resumable;
      route.max_attempts = 2;
      route.timeout = milliseconds(1500);
      route.target_latency = milliseconds(600);
      route.target_gap = milliseconds(200);
      route.services = {{"plain", 1}};
      c->routes.push_back(route);
    }
    forwarder.set_routes(std::make_shared<RouteTable>(c));
    loop.Every(Forwarder::kTick, [this] { forwarder.Tick(); });
  }

  static UpstreamClient::Options Options() {
    UpstreamClient::Options options;
    options.id_header = ForwardHeaders().request_id;
    return options;
  }
  static EndpointTable::Options TableOptions() {
    EndpointTable::Options options;
    options.report_valid = hours(10);
    return options;
  }

  void SetEndpoints(const std::vector<std::string>& names) {
    std::vector<ListedEndpoint> list;
    list.reserve(names.size());
    for (const std::string& name : names) {
      list.push_back(Listed(name, EndpointRole::kService,
                            name == "a" ? a.address() : b.address()));
    }
    table.OnList(list);
    for (const std::string& name : names) {
      LoadReport report;
      report.incarnation = 1;
      table.OnReport(loop.now(), name, report);
    }
  }

  // Changes all routes.
  void EditRoutes(const std::function<void(Route*)>& edit) {
    auto c = std::make_shared<ServiceConfiguration>(
        forwarder.routes()->configuration());
    for (Route& route : c->routes) edit(&route);
    forwarder.set_routes(std::make_shared<RouteTable>(c));
  }
  void SetTimeout(Duration timeout) {
    EditRoutes([timeout](Route* route) { route->timeout = timeout; });
  }

  // Makes the service a pool of two layers: a holds the first, and each of
  // `holders` the other. Of these, only b can be reached.
  void MakePool(const std::vector<std::string>& holders = {"b"}) {
    auto c = std::make_shared<ServiceConfiguration>(
        forwarder.routes()->configuration());
    c->services[0].engine = EnginePool();
    c->services[0].engine->layers = 2;
    forwarder.set_routes(std::make_shared<RouteTable>(c));
    std::vector<ListedEndpoint> list = {Runner("a", a.address())};
    uint16_t port = 1;
    for (const std::string& name : holders) {
      const Address nowhere{"127.0.0.1", port++};
      list.push_back(Runner(name, name == "b" ? b.address() : nowhere));
    }
    table.OnList(list);
    for (const ListedEndpoint& e : list) {
      LoadReport report;
      report.incarnation = 1;
      report.model = "plain";
      report.version = "1";
      report.layers = 2;
      report.holds = e.name == "a" ? LayerRange{0, 1} : LayerRange{1, 2};
      report.slots = 8;
      table.OnReport(loop.now(), e.name, report);
    }
    context.probe = [this](const std::string& endpoint,
                           const std::function<void(RunnerHealth)>& fn) {
      probed.push_back(endpoint);
      fn(unresponsive.contains(endpoint) ? RunnerHealth() : health);
    };
    context.reroute = [this](const RunnerRef&, const std::string&,
                             const std::vector<AddressedStage>& chain,
                             const RerouteHandler& fn) {
      reroutes.push_back({chain, fn});
    };
  }

  static ListedEndpoint Listed(const std::string& name, EndpointRole role,
                               const Address& at) {
    ListedEndpoint e;
    e.name = name;
    e.role = role;
    e.service = "plain";
    e.hall = "h";
    e.incarnation = 1;
    e.address = at;
    return e;
  }
  static ListedEndpoint Runner(const std::string& name, const Address& at) {
    return Listed(name, EndpointRole::kRunner, at);
  }

  // Runners other than a on which this box has load.
  std::vector<std::string> BusyRunners() const {
    std::vector<std::string> names;
    for (const auto& [name, row] : table.rows()) {
      if (name != "a" && row.own > 0) names.push_back(name);
    }
    return names;
  }

  // Sets the steps of both endpoints, one per request.
  void Script(const std::vector<RawEndpoint::Step>& first,
              const std::vector<RawEndpoint::Step>& second) {
    a.steps = first;
    b.steps = second;
  }

  std::string SendRequest(const std::string& method, const std::string& path,
                          Duration d = milliseconds(400),
                          const std::string& more = "X-Key: key\r\n",
                          const std::string& id = "1") {
    got.clear();
    ended = false;
    caller = TcpConnection::Connect(&loop, address);
    TcpConnection::Handlers handlers;
    handlers.on_bytes = [this](std::string_view s) { got += s; };
    handlers.on_end = [this](TcpEnd) { ended = true; };
    caller->set_handlers(std::move(handlers));
    caller->Write(method + " " + path +
                  " HTTP/1.1\r\nHost: h\r\nX-Pinford-Request: " + id + "\r\n" +
                  more + "\r\n");
    RunFor(d);
    return got;
  }

  void RunFor(Duration d) {
    loop.After(d, [this] { loop.Stop(); });
    loop.Run();
  }

  // Returns whether the condition holds within kPatience, which is more than
  // a busy machine takes.
  bool RunUntil(const std::function<bool()>& condition) {
    constexpr seconds kPatience{10};
    const Time end = loop.now() + kPatience;
    while (!condition() && loop.now() < end) RunFor(milliseconds(5));
    return condition();
  }

  size_t sends() const { return a.requests.size() + b.requests.size(); }

  EventLoop loop;
  RawEndpoint a;
  RawEndpoint b;
  Address address;
  bool config_fresh = true;
  Metrics metrics;
  UpstreamClient upstream;
  EndpointTable table;
  RetryShare retries;
  Random random;
  CrashLedger crashes;
  ForwardContext context;
  Forwarder forwarder;
  CallerServer server;
  std::shared_ptr<TcpConnection> caller;
  std::string got;
  bool ended = false;
  int callers_waiting = 0;  // calls of on_caller_waiting
  std::vector<std::string>
      probed;  // runners of the pool, in order of the probes
  std::set<std::string> unresponsive;  // runners that do not respond to probes
  RunnerHealth health{true, true};     // reported by all others
  std::vector<LeavingMark> leaving_reports;  // read from responses
  // The chains that a was asked to continue with, and the handlers of the
  // results.
  std::vector<std::pair<std::vector<AddressedStage>, RerouteHandler>> reroutes;
};

inline std::string StatusOf(const std::string& answer) {
  return answer.size() < 12 ? answer : answer.substr(9, 3);
}

}  // namespace pinford

#endif  // PINFORD_TESTING_FORWARDER_FIXTURE_H_
