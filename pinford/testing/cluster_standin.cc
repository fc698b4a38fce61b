#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "pinford/endpoint.h"
#include "pinford/operator_client.h"
#include "pinford/testing/cluster.h"
#include "pinford/testing/free_ports.h"
#include "util/json.h"

extern char** environ;

namespace pinford {

static constexpr char kKey[] = "a-key-for-the-tests";

bool WaitUntil(Duration limit, const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return done();
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

// --- processes -------------------------------------------------------------

Process::Process(const std::vector<std::string>& args, const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (const std::string& w : args)
    argv.push_back(const_cast<char*>(w.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  if (ended_ || pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Signal(int signal) const {
  if (!ended_ && pid_ > 0) kill(pid_, signal);
}

bool Process::HasEnded() {
  ended_ = ended_ || pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == pid_;
  return ended_;
}

int Process::Wait(Duration limit) {
  int status = 0;
  const bool ended = WaitUntil(
      limit, [&] { return ended_ || waitpid(pid_, &status, WNOHANG) == pid_; });
  if (!ended) return -1;
  ended_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// --- the cluster -----------------------------------------------------------

static std::string ServiceName(int i) {
  return "bookings-" + std::to_string(i);
}

Cluster::Cluster(const Options& options) : options_(options) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "pinford.XXXXXX";
  directory_ = mkdtemp(pattern.data());
  std::ofstream(key_file()) << kKey << "\n";
  std::vector<std::string> names = {"store", "balancer"};
  for (const EngineSpec& e : options_.engines) names.push_back(e.name);
  for (int i = 0; i < options_.services; i++) names.push_back(ServiceName(i));
  for (int i = 0; i < options_.boxes; i++) {
    for (const char* part : {"callers", "operators", "peers"}) {
      names.push_back(BoxName(i) + "/" + part);
    }
  }
  const std::vector<int> ports = FreePorts(static_cast<int>(names.size()));
  for (size_t i = 0; i < names.size(); i++) {
    addresses_[names[i]] = {"127.0.0.1", static_cast<uint16_t>(ports[i])};
  }
}

Cluster::~Cluster() {
  processes_.clear();
  std::filesystem::remove_all(directory_);
}

Address Cluster::service(int i) const { return addresses_.at(ServiceName(i)); }
Address Cluster::callers(int box) const {
  return addresses_.at(BoxName(box) + "/callers");
}
Address Cluster::operators(int box) const {
  return addresses_.at(BoxName(box) + "/operators");
}

std::string Cluster::ListJson(const std::vector<std::string>& leaving) const {
  std::vector<ListedEndpoint> list;
  auto add = [&](const std::string& name, EndpointRole role) {
    ListedEndpoint e;
    e.name = name;
    e.role = role;
    if (role == EndpointRole::kService) e.service = "bookings";
    e.address = addresses_.at(name);
    e.hall = "hall-1";
    const bool leaves =
        std::find(leaving.begin(), leaving.end(), name) != leaving.end();
    e.state = leaves ? ListedState::kLeaving : ListedState::kLive;
    list.push_back(e);
  };
  for (const EngineSpec& e : options_.engines)
    add(e.name, EndpointRole::kRunner);
  for (int i = 0; i < options_.services; i++) {
    add(ServiceName(i), EndpointRole::kService);
  }
  return WriteEndpointList(list);
}

std::string Cluster::BoxSettings(int box) const {
  const std::string name = BoxName(box);
  std::ostringstream out;
  out << "box: " << name << "\nhall: hall-1\nlisten:\n";
  for (const char* part : {"callers", "operators", "peers"}) {
    out << "  " << part << ": " << addresses_.at(name + "/" + part).ToString()
        << "\n";
  }
  out << "keys:\n  operators: " << kKey << "\n  peers: " << kKey
      << (box == options_.isolated_box ? "-alone" : "-peers")
      << "\nstore: " << store().ToString()
      << "\nstop: {listen_ms: " << options_.stop_listen_ms << "}\nseeds: [";
  for (int i = 0; i < options_.boxes; i++) {
    out << (i > 0 ? ", " : "")
        << addresses_.at(BoxName(i) + "/peers").ToString();
  }
  out << "]\n" << options_.settings;
  return out.str();
}

void Cluster::StartBox(int i) {
  const std::string file = directory_ + "/" + BoxName(i) + ".yaml";
  std::ofstream(file) << BoxSettings(i);
  processes_[BoxName(i)] = std::make_unique<Process>(
      std::vector<std::string>{PINFORD_BINARY, "serve", "--settings=" + file},
      directory_ + "/log");
}

void Cluster::StartEngine(const EngineSpec& spec) {
  std::vector<std::string> args = {
      STANDIN_BINARY,
      "engine",
      "--listen=" + addresses_.at(spec.name).ToString(),
      "--name=" + spec.name,
      "--begin=" + std::to_string(spec.holds.begin),
      "--end=" + std::to_string(spec.holds.end),
      "--slots=" + std::to_string(spec.slots),
      "--layer-us=" + std::to_string(spec.layer_us)};
  if (!options_.records) args.push_back("--no-records");
  processes_[spec.name] = std::make_unique<Process>(args, directory_ + "/log");
}

bool Cluster::Start() {
  const std::string log = directory_ + "/log";
  const std::string list = directory_ + "/list.json";
  std::ofstream(list) << ListJson({});
  processes_["store"] = std::make_unique<Process>(
      std::vector<std::string>{STANDIN_BINARY, "store",
                               "--listen=" + store().ToString(),
                               "--list=" + list},
      log);
  for (const EngineSpec& e : options_.engines) StartEngine(e);
  for (int i = 0; i < options_.services; i++) {
    processes_[ServiceName(i)] = std::make_unique<Process>(
        std::vector<std::string>{STANDIN_BINARY, "service",
                                 "--listen=" + service(i).ToString(),
                                 "--name=" + ServiceName(i)},
        log);
  }
  for (int i = 0; i < options_.boxes; i++) StartBox(i);
  if (!WaitForBoxes(seconds(20))) return false;
  if (!options_.policy.empty()) {
    std::string output;
    const int code =
        Run({"policy", "submit", "--operator=" + operators(0).ToString(),
             "--key-file=" + key_file(),
             std::string(SOURCE_DIR) + "/" + options_.policy},
            &output);
    if (code != 0) {
      fprintf(stderr, "cannot submit the policy: %s\n%s\n", output.c_str(),
              Log().c_str());
      return false;
    }
  }
  if (options_.balancer) {
    std::vector<std::string> args = {
        STANDIN_BINARY, "balancer", "--listen=" + balancer().ToString(),
        "--look-ms=" + std::to_string(options_.balancer_probe_ms)};
    for (int i = 0; i < options_.boxes; i++) {
      args.push_back(callers(i).ToString());
    }
    processes_["balancer"] = std::make_unique<Process>(args, log);
    HttpCall call;
    call.to = balancer();
    call.target = "/readyz";
    if (!WaitUntil(seconds(10), [&] { return CallAndWait(call).ok(); })) {
      return false;
    }
  }
  return true;
}

bool Cluster::BoxReady(int box) const {
  HttpCall call;
  call.to = callers(box);
  call.target = "/readyz";
  return CallAndWait(call).ok();
}

bool Cluster::WaitForBoxes(Duration limit) {
  const double endpoints =
      static_cast<double>(options_.engines.size()) + options_.services;
  const bool ready = WaitUntil(limit, [&] {
    for (int i = 0; i < options_.boxes; i++) {
      if (!processes_.contains(BoxName(i))) continue;
      if (!BoxReady(i)) return false;
      if (Metric(i, "usable_endpoints") < endpoints) return false;
      const bool alone = i == options_.isolated_box;
      const int peers = options_.boxes - (options_.isolated_box >= 0 ? 1 : 0);
      if (!alone && Metric(i, "live_boxes") < peers) return false;
    }
    return true;
  });
  if (!ready) fprintf(stderr, "the boxes are not ready:\n%s\n", Log().c_str());
  return ready;
}

void Cluster::PublishList(const std::vector<std::string>& leaving) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.to = store();
  call.target = "/put?key=platform%2Fendpoints";
  call.body = ListJson(leaving);
  CallAndWait(call);
}

void Cluster::SetFault(const Address& standin, const std::string& json) {
  HttpCall call;
  call.method = HttpMethod::kPost;
  call.to = standin;
  call.target = "/faults";
  call.body = json;
  CallAndWait(call);
}

double Cluster::Metric(int box, const std::string& series) const {
  HttpCall call;
  call.to = operators(box);
  call.target = "/metrics";
  const HttpResult r = CallAndWait(call);
  const std::string expected = "\npinford_" + series + " ";
  const size_t at = ("\n" + r.body).find(expected);
  if (!r.ok() || at == std::string::npos) return -1;
  return strtod(r.body.c_str() + at + expected.size() - 1, nullptr);
}

HttpResult Cluster::CallOperator(int box, HttpMethod method,
                                 const std::string& target,
                                 const std::string& body) const {
  HttpCall call;
  call.method = method;
  call.to = operators(box);
  call.target = target;
  call.body = body;
  call.headers.emplace_back("Authorization", std::string("Bearer ") + kKey);
  return CallAndWait(call);
}

int Cluster::Run(const std::vector<std::string>& args,
                 std::string* output) const {
  const std::string file = directory_ + "/output";
  std::filesystem::remove(file);
  std::vector<std::string> all = {PINFORD_BINARY};
  all.insert(all.end(), args.begin(), args.end());
  Process process(all, file);
  const int code = process.Wait(seconds(20));
  std::ifstream in(file);
  output->assign(std::istreambuf_iterator<char>(in), {});
  return code;
}

std::vector<LayerRun> Cluster::LayerRuns() const {
  std::vector<LayerRun> runs;
  for (const EngineSpec& e : options_.engines) {
    HttpCall call;
    call.to = engine(e.name);
    call.target = "/records";
    const HttpResult r = CallAndWait(call);
    if (!r.ok()) continue;
    for (const Json& row : ParseJson(r.body)) {
      runs.push_back({e.name, row[0].get<std::string>(), row[1].get<uint32_t>(),
                      row[2].get<int>(), row[3].get<int>(),
                      row[4].get<bool>()});
    }
  }
  return runs;
}

std::string Cluster::Log() const {
  std::ifstream in(directory_ + "/log");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// --- callers ---------------------------------------------------------------

std::string ChatBody(const std::string& prompt, int max_tokens, bool stream) {
  return DumpJson(Json{
      {"model", "toy"},
      {"max_tokens", max_tokens},
      {"stream", stream},
      {"messages", Json::array({{{"role", "user"}, {"content", prompt}}})}});
}

std::string RawChatRequest(const std::string& prompt, int max_tokens,
                           const std::string& headers) {
  const std::string body = ChatBody(prompt, max_tokens, true);
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string EnginePrompt(const std::string& prompt) {
  return "user: " + prompt + "\n";
}

std::string ResponseText(const std::string& body, bool stream, bool* complete) {
  *complete = false;
  if (!stream) {
    const Json v = ParseJson(body);
    *complete = JsonField<std::string>(v, "outcome", "") == "complete";
    return *complete ? v["choices"][0]["message"]["content"].get<std::string>()
                     : "";
  }
  std::string text;
  std::istringstream in(body);
  std::string line;
  while (std::getline(in, line)) {
    if (line == "data: [DONE]") *complete = true;
    if (line.compare(0, 7, "data: {") != 0) continue;
    const Json v = ParseJson(line.substr(6));
    if (!v.contains("choices")) continue;
    text += JsonField<std::string>(v["choices"][0]["delta"], "content", "");
  }
  return text;
}

RawCaller::RawCaller(const Address& to) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(to.port);
  inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) Close();
}

RawCaller::~RawCaller() { Close(); }

void RawCaller::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

bool RawCaller::Send(const std::string& text) {
  return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(text.size());
}

std::string RawCaller::Read(const std::string& delimiter, Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (read_.find(delimiter) == std::string::npos) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        end - std::chrono::steady_clock::now());
    if (left.count() <= 0) break;
    if (!ReadOnce(left)) break;
  }
  return read_;
}

bool RawCaller::ReadOnce(Duration limit) {
  pollfd p{fd_, POLLIN, 0};
  if (poll(&p, 1, static_cast<int>(ToMillis(limit))) <= 0) return false;
  char buf[65536];
  const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
  if (n <= 0) return false;
  read_.append(buf, n);
  return true;
}

const std::string& RawCaller::ReadMore(Duration limit) {
  ReadOnce(limit);
  return read_;
}

}  // namespace pinford
