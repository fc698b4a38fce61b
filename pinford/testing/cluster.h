// Real processes on loopback for the few tests that need them: stand-ins,
// boxes, and callers that speak to them. Every wait is bounded.

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

// A started program. Killed, if it still runs, when this goes.
class Process {
 public:
  Process(const std::vector<std::string>& args, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Without waiting for it.
  bool HasEnded();
  // Its exit code once it has ended, -1 if it has not ended in time or was
  // ended by a signal.
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
    // A file of the source tree; "" submits none.
    std::string policy = "examples/tablewise.lua";
    std::string settings;  // more lines of each box
    bool records = true;
    // This box has another key than its peers, so it is cut off from them;
    // -1 for none.
    int isolated_box = -1;
  };

  Cluster() : Cluster(Options()) {}
  explicit Cluster(const Options& options);
  ~Cluster();

  // Starts everything and waits until all boxes see all endpoints. False,
  // with the logs printed, if that takes too long.
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
  // Puts the platform's list as it is now, with `leaving` marked so.
  void PublishList(const std::vector<std::string>& leaving = {});
  bool WaitForBoxes(Duration limit);
  bool BoxReady(int box) const;

  void SetFault(const Address& standin, const std::string& json);
  // A metric's value at a box, or -1.
  double Metric(int box, const std::string& series) const;
  HttpResult CallOperator(int box, HttpMethod method, const std::string& target,
                          const std::string& body = "") const;
  // Runs the pinford program and gives its exit code and output.
  int Run(const std::vector<std::string>& args, std::string* output) const;
  // All layer runs of the engines that still answer.
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

// Polls `done` until it is true or `limit` has passed; gives its last value.
bool WaitUntil(Duration limit, const std::function<bool()>& done);

// The body of a completion request for the toy model.
std::string ChatBody(const std::string& prompt, int max_tokens, bool stream);
// The same request as a caller writes it on its connection, streamed.
// `headers` are whole lines, each with its end.
std::string RawChatRequest(const std::string& prompt, int max_tokens,
                           const std::string& headers = "");
// The prompt as the box hands it to the engines.
std::string EnginePrompt(const std::string& prompt);
// The answer's text, of a whole answer or of a stream; `whole` tells whether
// it ended as it should.
std::string ResponseText(const std::string& body, bool stream, bool* complete);

// One raw connection, for callers that misbehave.
class RawCaller {
 public:
  explicit RawCaller(const Address& to);
  ~RawCaller();
  bool Send(const std::string& text);
  // Reads until `enough` is in what was read, the end, or the limit.
  std::string Read(const std::string& delimiter, Duration limit);
  // Waits for more than was read before. Gives all that was read.
  const std::string& ReadMore(Duration limit);
  void Close();

 private:
  // Reads once. False at the end or the limit.
  bool ReadOnce(Duration limit);

  int fd_;
  std::string read_;
};

}  // namespace pinford

#endif  // PINFORD_TESTING_CLUSTER_H_
