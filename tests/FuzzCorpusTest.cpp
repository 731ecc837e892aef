// FuzzCorpusTest.cpp - Replay of the seed corpora of the fuzz targets.

#include "../fuzz/FuzzTargets.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace figsail::fuzz;

// Guards against an input, found earlier, that ends a process.
TEST(FuzzCorpus, EveryInputIsDecodedOrRejected) {
  for (const FuzzTarget &Target : fuzzTargets()) {
    std::size_t Inputs = 0;
    std::filesystem::path Folder =
        std::filesystem::path(FIGSAIL_CORPUS_DIR) / Target.Name;
    for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
      std::ostringstream Text;
      Text << std::ifstream(Entry.path(), std::ios::binary).rdbuf();
      Target.Decode(Text.str());
      ++Inputs;
    }
    EXPECT_GT(Inputs, 0U) << Target.Name;
  }
}
