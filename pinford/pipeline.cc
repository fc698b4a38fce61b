#include "pinford/pipeline.h"

namespace pinford {

bool Partitions(const Chain& chain, const LayerRange& whole) {
  int at = whole.begin;
  for (const Stage& stage : chain) {
    if (stage.range.begin != at || stage.range.empty()) return false;
    at = stage.range.end;
  }
  return at == whole.end;
}

std::string ChainText(const Chain& chain) {
  std::string text;
  for (const Stage& stage : chain) {
    if (!text.empty()) text += ' ';
    text += stage.endpoint + ':' + std::to_string(stage.range.begin) + '-' +
            std::to_string(stage.range.end);
  }
  return text;
}

}  // namespace pinford
