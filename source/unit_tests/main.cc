#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "common/invariant.h"

int main(int argc, char** argv) {
  // Singletons that live as long as the process would be reported as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  wisteriadale::common::SetInvariantMode(
      wisteriadale::common::invariant_mode::kFatal);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
