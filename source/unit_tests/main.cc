#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "common/invariant.h"

int main(int argc, char** argv) {
  // Library-wide singletons would count as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  wisteriadale::common::SetInvariantMode(
      wisteriadale::common::invariant_mode::kFatal);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
