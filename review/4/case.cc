// A runner crashes in the middle of an answer without a length, before it has
// read all of a long request. The box delivers what has arrived as the whole
// answer, with the runner's status and signature.
//
// The same program is the runner: case-4 runner PORT ID STORE_PORT. It answers
// as soon as it has read the head of a request, at an even pace, and reads the
// body meanwhile and afterwards; the answer ends as its channel closes.

#include <thread>

#include "lab-2/lab.h"

using namespace lab;

// Within the configuration's maxBodyBytes of 4,194,304.
static constexpr size_t kRequestBytes = 2'000'000;
static constexpr int kPieces = 40;
static constexpr double kPieceInterval = 0.010;
static constexpr int kRounds = 6;

static std::string PieceOf(const std::string& id, int number) {
  return "piece " + std::to_string(number) + " of " + std::to_string(kPieces) +
         " of " + id + "\n";
}
static std::string WholeAnswer(const std::string& id) {
  std::string all;
  for (int i = 1; i <= kPieces; i++) all += PieceOf(id, i);
  return all;
}

// --- the runner

static std::string HeaderOf(const std::string& head, const std::string& name) {
  Answer a;
  a.head = head;
  return a.header(name);
}

static void ServeRunner(int fd, const std::string& runner) {
  std::string in;
  char buffer[4096];
  size_t end;
  while ((end = in.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      close(fd);
      return;
    }
    in.append(buffer, static_cast<size_t>(n));
  }
  const std::string head = in.substr(0, end);
  const std::string id = HeaderOf(head, "Request-Id");
  const size_t length =
      strtoul(HeaderOf(head, "Content-Length").c_str(), nullptr, 10);
  size_t body = in.size() - end - 4;
  if (HeaderOf(head, "Expect-Instance") != runner) {
    WriteAll(fd, "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + id +
                     "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n");
    close(fd);
    return;
  }
  printf("runs %s\n", id.c_str());
  fflush(stdout);
  WriteAll(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                   "\r\nResponse-Seal: seal-" + id +
                   "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
  for (int i = 1; i <= kPieces; i++) {
    WriteAll(fd, PieceOf(id, i));
    usleep(static_cast<useconds_t>(kPieceInterval * 1e6));
    // It works on the answer, and reads a little of the body now and then.
    const ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (n > 0) body += static_cast<size_t>(n);
  }
  printf("answered %s\n", id.c_str());
  fflush(stdout);
  while (body < length) {
    const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
    if (n <= 0) break;
    body += static_cast<size_t>(n);
  }
  close(fd);
}

static int RunRunner(int port, const std::string& id, int store) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1, segment = 1460, window = 64 << 10;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  // Segments and a window as on the platform's links, not those of loopback.
  setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<uint16_t>(port));
  if (bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(listener, 64) != 0)
    return kNotRun;
  Call(store, "PUT", "/put?key=servers%2F" + id, {},
       R"({"service":"plain","address":")" + At(port) +
           R"(","zone":"h1","version":"v1","slots":6,"state":"ready",)"
           R"("coldLeftMs":0,"seq":1})");
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) std::thread(ServeRunner, fd, id).detach();
  }
}

// --- the case

static std::string Configuration() {
  const auto route = [](const char* name, const char* prefix,
                        const char* kind) {
    return std::string(R"({"name":")") + name +
           R"(","host":"127.0.0.1","pathPrefix":")" + prefix +
           R"(","kind":")" + kind +
           R"(","service":"plain","maxAttempts":2,"timeoutMs":4000,)"
           R"("targetLatencyMs":3000})";
  };
  return R"({"version":1,"routes":[)" +
         route("once", "/once/", "non_idempotent") + "," +
         route("get", "/get/", "idempotent") +
         R"(],"services":[{"name":"plain","maxConns":110}],)"
         R"("tenants":[{"name":"t1","apiKeys":["key-1"]}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int main(int argc, char** argv) {
  if (argc == 5 && strcmp(argv[1], "runner") == 0)
    return RunRunner(atoi(argv[2]), argv[3], atoi(argv[4]));
  if (argc != 3) return kNotRun;
  const std::string root = argv[1];
  const std::string standin = root + "/target/review-2/standins/standin";
  const std::string self = root + "/target/review-2/case-4";
  Record record(std::string(argv[2]) + "/record.txt");
  Lab lab(root);
  const int store = FreePort();
  Box box;
  box.name = "box-a";
  box.store = store;
  box.seeds = {box.peers};
  lab.Start("store", {standin, "metadata-store", "--listen=" + At(store)});
  if (!WaitFor(10, [&] {
        return Call(store, "GET", "/counts").status == 200;
      }))
    return kNotRun;
  Call(store, "PUT", "/put?key=op%2Fconfig", {}, Configuration());
  StartBox(&lab, box);

  const bool trouble = Trouble();
  int broken = 0, whole = 0, other = 0;
  for (int round = 0; round < kRounds; round++) {
    // A runner of its own each time: a start begins a new lifetime.
    const std::string name = "runner-" + std::to_string(round);
    const std::string instance = "i-" + std::to_string(round);
    lab.Start(name, {self, "runner", std::to_string(FreePort()), instance,
                     std::to_string(store)});
    if (!WaitFor(10, [&] { return IsReady(box); })) return kNotRun;
    SleepUntil(Now() + 1);
    const bool once = round % 2 == 0;
    const std::string id = (once ? "once-" : "get-") + std::to_string(round);
    Answer answer;
    std::thread client([&] {
      answer = Call(box.callers, "POST", once ? "/once/x" : "/get/x",
                    {{"Request-Id", id},
                     {"Key", "key-1"},
                     {"Deadline-Ms", "4000"}},
                    std::string(kRequestBytes, 'r'), 6);
    });
    if (trouble) {
      // Half of the answer is out.
      SleepUntil(Now() + kPieces * kPieceInterval / 2);
      lab.Kill(name);
      record.Line("%s crashes while it answers %s", name.c_str(), id.c_str());
    }
    client.join();
    const std::string expected = WholeAnswer(id);
    const bool success = answer.status >= 200 && answer.status < 300;
    record.Line("%s: status %d, seal \"%s\", %s, Content-Length \"%s\", %zu of "
                "the runner's %zu bytes",
                id.c_str(), answer.status,
                answer.header("Response-Seal").c_str(),
                answer.whole ? "whole" : "cut",
                answer.header("Content-Length").c_str(), answer.body.size(),
                expected.size());
    if (success && answer.whole && answer.body == expected) {
      whole++;
    } else if (success && answer.whole) {
      record.Line("%s: a success whose body is not the runner's whole body",
                  id.c_str());
      broken++;
    } else {
      other++;
    }
    if (!trouble) lab.Kill(name);
    Call(store, "DELETE", "/put?key=servers%2F" + instance);
    SleepUntil(Now() + 1);
  }
  record.Line("%d answers cut and delivered as whole, %d whole, %d others",
              broken, whole, other);
  if (broken > 0) return kBroken;
  if (!trouble && whole < kRounds) return kNotRun;
  return kHeld;
}
