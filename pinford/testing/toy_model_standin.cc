#include <charconv>

#include "pinford/testing/toy_model.h"
#include "util/hash.h"

namespace pinford {

static constexpr int kVocabulary = 997;

static uint64_t Mix(uint64_t a, uint64_t b) {
  const uint64_t pair[2] = {a, b};
  return Hash64({reinterpret_cast<const char*>(pair), sizeof(pair)});
}

uint64_t FoldState(uint64_t state, uint64_t input) {
  return Mix(state * 31 + 1, input);
}

static uint64_t FromHex(const std::string& s) {
  uint64_t v = 0;
  std::from_chars(s.data(), s.data() + s.size(), v, 16);
  return v;
}

std::vector<int> ToyModel::Tokenize(const std::string& text) const {
  std::vector<int> tokens;
  std::string word;
  for (char c : text + " ") {
    if (c != ' ' && c != '\n') {
      word += c;
    } else if (!word.empty()) {
      tokens.push_back(static_cast<int>(Hash64(word) % kVocabulary));
      word.clear();
    }
  }
  return tokens;
}

std::string ToyModel::TokenText(int token) const {
  return "w" + std::to_string(token) + " ";
}

uint64_t ToyModel::Embed(int token) const {
  return Mix(Hash64(version), token);
}

uint64_t ToyModel::Output(int layer, uint64_t state) const {
  return Mix(Hash64(version) + layer, state);
}

int ToyModel::TokenOf(uint64_t last) const {
  return static_cast<int>(last % kVocabulary);
}

std::optional<StepReply> ToyModel::Run(const StepRequest& step,
                                       Session* session,
                                       const std::string& endpoint,
                                       std::vector<LayerRun>* runs) const {
  const LayerRange& range = step.id.range;
  if (session->states.empty()) {
    session->range = range;
    session->states.resize(range.size());
  }
  if (session->range != range || session->positions() != step.cached ||
      step.id.position > step.cached) {
    return std::nullopt;
  }
  std::vector<uint64_t> x;
  for (int token : step.tokens) x.push_back(Embed(token));
  for (const std::string& a : step.activations) x.push_back(FromHex(a));
  for (int l = range.begin; l < range.end; l++) {
    std::vector<uint64_t>& states = session->states[l - range.begin];
    for (size_t i = 0; i < x.size(); i++) {
      const int position = step.id.position + static_cast<int>(i);
      const uint64_t before = position > 0 ? states[position - 1] : 0;
      const uint64_t state = FoldState(before, x[i]);
      const bool recomputed = position < step.cached;
      if (!recomputed) states.push_back(state);
      x[i] = Output(l, state);
      if (runs != nullptr) {
        runs->push_back({endpoint, step.id.request, step.id.session, l,
                         position, recomputed});
      }
    }
  }
  StepReply reply;
  reply.id = step.id;
  if (step.last) {
    reply.token = TokenOf(x.back());
    reply.text = TokenText(reply.token);
    reply.end = Ends(reply.token);
  } else {
    for (uint64_t v : x) reply.activations.push_back(Hex64(v));
  }
  return reply;
}

std::vector<int> ToyModel::Answer(const std::string& prompt,
                                  int max_tokens) const {
  std::vector<int> tokens = Tokenize(prompt);
  std::vector<int> answer;
  std::vector<uint64_t> state(layers, 0);
  size_t processed = 0;
  while (static_cast<int>(answer.size()) < max_tokens) {
    uint64_t x = 0;
    for (; processed < tokens.size(); processed++) {
      x = Embed(tokens[processed]);
      for (int l = 0; l < layers; l++) {
        state[l] = FoldState(state[l], x);
        x = Output(l, state[l]);
      }
    }
    answer.push_back(TokenOf(x));
    tokens.push_back(answer.back());
    if (Ends(answer.back())) break;
  }
  return answer;
}

std::string ToyModel::AnswerText(const std::string& prompt,
                                 int max_tokens) const {
  std::string text;
  for (int token : Answer(prompt, max_tokens)) text += TokenText(token);
  return text;
}

}  // namespace pinford
