#include <cstdio>
#include <string>

#include "settings/settings_docs.h"

namespace {

bool WriteFile(const std::string& path, const std::string& text) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) return false;
  const bool complete =
      std::fwrite(text.data(), 1, text.size(), file) == text.size();
  return std::fclose(file) == 0 && complete;
}

}  // namespace

/// Writes the documentation pages that are generated from tables in the code.
int main(int argc, char** argv) {
  using namespace wisteriadale;  // NOLINT(google-build-using-namespace)
  if (argc != 2) {
    std::fputs("usage: wisteria-docs DIRECTORY\n", stderr);
    return 2;
  }
  const std::string directory = argv[1];
  const bool ok =
      WriteFile(directory + "/SETTINGS.md", settings::SettingsPage()) &&
      WriteFile(directory + "/RESULT_CODES.md", settings::ResultCodesPage());
  return ok ? 0 : 1;
}
