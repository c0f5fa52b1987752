#include "filetext.h"

#include <lagoonroute/base/errors.h>

#include <fstream>
#include <sstream>

namespace lagoonroute
{

std::string readAll(std::istream &stream)
{
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw InvalidDocument(path + ": cannot be read");
    }
    return readAll(file);
}

} // namespace lagoonroute
