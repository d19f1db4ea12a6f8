#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>

int main(int argc, char** argv)
{
    // As in the programs: a write to a closed connection ends in an error.
    std::signal(SIGPIPE, SIG_IGN);
    doctest::Context context(argc, argv);
    return context.run();
}
