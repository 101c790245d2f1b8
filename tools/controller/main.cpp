#include <host/program.hpp>

int main(int argc, char** argv)
{
    return cuminledge::host::runProgram(cuminledge::host::process_role::Controller, argc, argv);
}
