#include <commands.h>

#include <lagoonroute/app/commandline.h>

int main(int argc, char **argv)
{
    return lagoonroute::runCommandLine(argc, argv, lagoonroute::platform::commands());
}
