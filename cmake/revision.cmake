# Writes OUTPUT, a source file that defines the revision of the sources in SOURCE_DIR, if it has changed.
set(revision "unknown")
find_package(Git QUIET)
if(GIT_FOUND)
  set(git ${GIT_EXECUTABLE} -c safe.directory=*)
  execute_process(COMMAND ${git} rev-parse --short=12 HEAD WORKING_DIRECTORY ${SOURCE_DIR}
    OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET RESULT_VARIABLE status)
  execute_process(COMMAND ${git} status --porcelain -- src platform cmake CMakeLists.txt
    WORKING_DIRECTORY ${SOURCE_DIR} OUTPUT_VARIABLE changes ERROR_QUIET)
  if(status EQUAL 0)
    set(revision "${head}")
    if(changes)
      string(APPEND revision "+changes")
    endif()
  endif()
endif()
file(CONFIGURE OUTPUT "${OUTPUT}" CONTENT [[#include "observability/buildrevision.h"

namespace oriolerill::observability {

std::string_view buildRevision()
{
    return "@revision@";
}

} // namespace oriolerill::observability
]] @ONLY)
