#include "pinford/operator_client.h"

#include "util/json.h"

namespace pinford {

HttpResult CallAndWait(HttpCall call) {
  EventLoop loop;
  HttpClient http(&loop, HttpClient::Options());
  HttpResult result;
  call.timeout = seconds(15);
  http.Send(std::move(call), [&](HttpResult r) {
    result = std::move(r);
    loop.Stop();
  });
  loop.Run();
  return result;
}

HttpCall OperatorClient::Call(HttpMethod method, std::string target) const {
  HttpCall call;
  call.method = method;
  call.to = box_;
  call.target = std::move(target);
  call.headers.emplace_back("Authorization", "Bearer " + key_);
  return call;
}

HttpResult OperatorClient::Get(const std::string& target) const {
  return CallAndWait(Call(HttpMethod::kGet, target));
}

HttpResult OperatorClient::Submit(const std::string& id,
                                  const std::string& author,
                                  uint64_t expected_generation,
                                  const std::vector<PolicyFile>& files) const {
  Json list = Json::array();
  for (const PolicyFile& f : files) {
    list.push_back({{"name", f.name}, {"source", f.source}});
  }
  HttpCall call = Call(HttpMethod::kPost, "/v1/configuration");
  call.body = DumpJson(Json{{"id", id},
                            {"author", author},
                            {"expected_generation", expected_generation},
                            {"policy", list}});
  return CallAndWait(std::move(call));
}

}  // namespace pinford
