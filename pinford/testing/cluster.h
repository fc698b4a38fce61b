// Runs boxes and stand-ins as processes on loopback, for tests that need real
// processes, and provides callers for them. Every wait has a time limit.

#ifndef PINFORD_TESTING_CLUSTER_H_
#define PINFORD_TESTING_CLUSTER_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pinford/http_client.h"
#include "pinford/testing/toy_model.h"
#include "util/address.h"

namespace pinford {

// A child process. The destructor kills it if it is still running.
class Process {
 public:
  Process(const std::vector<std::string>& args, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Whether it has ended; does not block.
  bool HasEnded();
  // Waits for its end. Returns its exit code, or -1 if it did not end in time
  // or was ended by a signal.
  int Wait(Duration limit);
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_;
  bool ended_ = false;
};

struct EngineSpec {
  std::string name;
  LayerRange holds;
  int slots = 64;
  int layer_us = 200;
};

class Cluster {
 public:
  struct Options {
    int boxes = 3;
    std::vector<EngineSpec> engines = {{"a0", {0, 3}}, {"a1", {0, 3}},
                                       {"b0", {3, 6}}, {"b1", {3, 6}},
                                       {"c0", {6, 8}}, {"c1", {6, 8}}};
    int services = 2;
    bool balancer = false;
    int balancer_probe_ms = 300;
    int stop_listen_ms = 600;
    // Path within the source tree; "" submits no policy.
    std::string policy = "examples/tablewise.lua";
    std::string settings;  // appended to each box's settings file
    bool records = true;   // whether engines record their layer runs
    // This box has another peer key than the others, which isolates it from
    // them; -1 for none.
    int isolated_box = -1;
  };

  Cluster() : Cluster(Options()) {}
  explicit Cluster(const Options& options);
  ~Cluster();

  // Starts all processes and waits until all boxes see all endpoints. Prints
  // the logs and returns false if that takes too long.
  bool Start();

  Address store() const { return addresses_.at("store"); }
  Address engine(const std::string& name) const { return addresses_.at(name); }
  Address service(int i) const;
  Address callers(int box) const;
  Address operators(int box) const;
  Address balancer() const { return addresses_.at("balancer"); }
  Process& process(const std::string& name) { return *processes_.at(name); }
  static std::string BoxName(int i) { return "box-" + std::to_string(i); }

  void StartBox(int i);
  void StartEngine(const EngineSpec& spec);
  // Writes the platform's list of endpoints, with those in `leaving` marked as
  // leaving.
  void PublishList(const std::vector<std::string>& leaving = {});
  bool WaitForBoxes(Duration limit);
  bool BoxReady(int box) const;

  void SetFault(const Address& standin, const std::string& json);
  // The value of a box's metric, or -1.
  double Metric(int box, const std::string& series) const;
  HttpResult CallOperator(int box, HttpMethod method, const std::string& target,
                          const std::string& body = "") const;
  // Runs the pinford program. Returns its exit code and sets `output`.
  int Run(const std::vector<std::string>& args, std::string* output) const;
  // The layer runs that the reachable engines recorded.
  std::vector<LayerRun> LayerRuns() const;
  std::string Log() const;
  std::string key_file() const { return directory_ + "/key"; }
  const Options& options() const { return options_; }

 private:
  std::string BoxSettings(int box) const;
  std::string ListJson(const std::vector<std::string>& leaving) const;

  Options options_;
  std::string directory_;
  std::map<std::string, Address> addresses_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
};

// Polls `done` until it is true or `limit` has passed; returns its last value.
bool WaitUntil(Duration limit, const std::function<bool()>& done);

// The body of a completion request for the toy model.
std::string ChatBody(const std::string& prompt, int max_tokens, bool stream);
// The same request for a streamed response, as the bytes of an HTTP request.
// `headers` are lines that end in CRLF each.
std::string RawChatRequest(const std::string& prompt, int max_tokens,
                           const std::string& headers = "");
// The prompt as the box sends it to the engines.
std::string EnginePrompt(const std::string& prompt);
// The generated text in a response's body, streamed or not. Sets `complete` to
// whether the response ended regularly.
std::string ResponseText(const std::string& body, bool stream, bool* complete);

// A caller on a raw TCP connection, for tests of misbehaving callers.
class RawCaller {
 public:
  explicit RawCaller(const Address& to);
  ~RawCaller();
  bool Send(const std::string& text);
  // Reads until `delimiter` was received, the connection ended, or `limit` has
  // passed. Returns everything received so far.
  std::string Read(const std::string& delimiter, Duration limit);
  // Waits for more bytes. Returns everything received so far.
  const std::string& ReadMore(Duration limit);
  void Close();

 private:
  // Receives once. Returns false at the connection's end or the time limit.
  bool ReadOnce(Duration limit);

  int fd_;
  std::string read_;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_CLUSTER_H_
