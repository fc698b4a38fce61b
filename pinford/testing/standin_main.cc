// One test program with the stand-ins for the systems around pinford.

#include <docopt/docopt.h>
#include <signal.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "pinford/configuration.h"
#include "pinford/testing/balancer_standin.h"
#include "pinford/testing/engine_standin.h"
#include "pinford/testing/free_ports.h"
#include "pinford/testing/service_standin.h"
#include "pinford/testing/store_standin.h"
#include "platform/testing/fault_proxies.h"
#include "platform/testing/metadata_store_standin.h"
#include "platform/testing/pool_runner_standin.h"

namespace pinford {
namespace {

constexpr char kUsage[] =
    R"(Stand-ins for the systems around pinford. For tests and trials only.

Usage:
  standin store --listen=ADDRESS [--list=FILE]
  standin engine --listen=ADDRESS --name=NAME --begin=N --end=N [--layers=N]
          [--model=NAME] [--model-version=V] [--slots=N] [--layer-us=N]
          [--end-every=N] [--no-records]
  standin service --listen=ADDRESS --name=NAME
  standin balancer --listen=ADDRESS [--look-ms=N] BOX...
  standin metadata-store --listen=ADDRESS
  standin pool-runner --listen=ADDRESS --name=ID --service=NAME --hall=HALL
          --store=ADDRESS [--layers=N] [--reached-at=ADDRESS] [--linger-ms=N]
  standin proxies --listen=ADDRESS LINK...
  standin ports COUNT

metadata-store and pool-runner speak the protocol of the users' platform. LINK
is NAME,ADDRESS,ADDRESS: the address to listen on and the one to forward to.
`ports` prints COUNT free loopback ports, for scripts.

Options:
  --list=FILE         The platform's list of endpoints, as JSON.
  --layers=N          Layers of the whole model; 0 for a plain service
                      [default: 8].
  --service=NAME      The service under which the endpoint is listed.
  --store=ADDRESS     The metadata store in which it is listed.
  --model=NAME        [default: toy]
  --model-version=V   [default: v1]
  --slots=N           Maximum number of sessions [default: 64].
  --layer-us=N        Microseconds per layer [default: 200].
  --end-every=N       The answer ends at a token that is a multiple of N;
                      0 for never [default: 0].
  --no-records        Do not record layer runs.
  --linger-ms=N       How long a runner keeps serving once it leaves
                      [default: 1500].
  --look-ms=N         How often the balancer polls /readyz [default: 300].
)";

using Arguments = std::map<std::string, docopt::value>;

int Number(const Arguments& args, const char* name) {
  return static_cast<int>(args.at(name).asLong());
}

int RunUntilStopped(bool listening, EventLoop* loop) {
  if (!listening) {
    std::cerr << "cannot listen\n";
    return 1;
  }
  loop->OnSignal(SIGTERM, [loop] { loop->Stop(); });
  loop->Run();
  return 0;
}

int RunStore(const Arguments& args, EventLoop* loop, const Address& at) {
  StoreStandin store(loop);
  if (args.at("--list")) {
    std::ifstream in(args.at("--list").asString());
    store.Put(kEndpointListKey, {std::istreambuf_iterator<char>(in),
                                 std::istreambuf_iterator<char>()});
  }
  return RunUntilStopped(store.Listen(at), loop);
}

int RunEngine(const Arguments& args, EventLoop* loop, const Address& at) {
  EngineStandin::Options options;
  options.name = args.at("--name").asString();
  options.model.name = args.at("--model").asString();
  options.model.version = args.at("--model-version").asString();
  options.model.layers = Number(args, "--layers");
  options.model.end_every = Number(args, "--end-every");
  options.holds = {Number(args, "--begin"), Number(args, "--end")};
  options.slots = Number(args, "--slots");
  options.layer_time = microseconds(Number(args, "--layer-us"));
  options.records = !args.at("--no-records").asBool();
  EngineStandin engine(loop, options);
  return RunUntilStopped(engine.Listen(at), loop);
}

int RunPoolRunner(const Arguments& args, EventLoop* loop, const Address& at) {
  platform::PoolRunnerStandin::Options options;
  options.id = args.at("--name").asString();
  options.service = args.at("--service").asString();
  options.hall = args.at("--hall").asString();
  options.store = *Address::Parse(args.at("--store").asString());
  options.address = options.reached_at = at;
  if (args.at("--reached-at")) {
    options.reached_at = *Address::Parse(args.at("--reached-at").asString());
  }
  options.layers = Number(args, "--layers");
  options.linger = milliseconds(Number(args, "--linger-ms"));
  platform::PoolRunnerStandin runner(loop, options);
  if (!runner.Start()) return RunUntilStopped(false, loop);
  loop->OnSignal(SIGTERM, [&runner] { runner.BeginLeaving(); });
  loop->Run();
  return 0;
}

int RunProxies(const Arguments& args, EventLoop* loop, const Address& at) {
  platform::FaultProxies proxies(loop);
  for (const std::string& link : args.at("LINK").asStringList()) {
    if (proxies.Add(link)) continue;
    std::cerr << "cannot listen: " << link << "\n";
    return 1;
  }
  return RunUntilStopped(proxies.Listen(at), loop);
}

int Main(int argc, char** argv) {
  const Arguments args =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "");
  signal(SIGPIPE, SIG_IGN);
  if (args.at("ports").asBool()) {
    for (int port : FreePorts(Number(args, "COUNT"))) std::cout << port << "\n";
    return 0;
  }
  std::optional<Address> at = Address::Parse(args.at("--listen").asString());
  if (!at) {
    std::cerr << "--listen must be an IP address and a port\n";
    return 2;
  }
  EventLoop loop;
  if (args.at("store").asBool()) return RunStore(args, &loop, *at);
  if (args.at("engine").asBool()) return RunEngine(args, &loop, *at);
  if (args.at("pool-runner").asBool()) return RunPoolRunner(args, &loop, *at);
  if (args.at("proxies").asBool()) return RunProxies(args, &loop, *at);
  if (args.at("metadata-store").asBool()) {
    platform::MetadataStoreStandin store(&loop);
    return RunUntilStopped(store.Listen(*at), &loop);
  }
  if (args.at("service").asBool()) {
    ServiceStandin service(&loop, args.at("--name").asString());
    return RunUntilStopped(service.Listen(*at), &loop);
  }
  std::vector<Address> boxes;
  for (const std::string& text : args.at("BOX").asStringList()) {
    std::optional<Address> box = Address::Parse(text);
    if (box) boxes.push_back(*box);
  }
  BalancerStandin balancer(&loop, boxes,
                           milliseconds(Number(args, "--look-ms")));
  return RunUntilStopped(balancer.Listen(*at), &loop);
}

}  // namespace
}  // namespace pinford

int main(int argc, char** argv) { return pinford::Main(argc, argv); }
