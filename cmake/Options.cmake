# Compiler options of all packages.
add_library(ql_options INTERFACE)
target_include_directories(ql_options INTERFACE
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
target_compile_definitions(ql_options INTERFACE
  _GNU_SOURCE QL_VERSION="${PROJECT_VERSION}")
target_compile_options(ql_options INTERFACE
  -Wall -Wextra -Werror -Wshadow -Wvla -Wformat=2
  $<$<COMPILE_LANGUAGE:C>:-Wstrict-prototypes -Wmissing-prototypes
    -Wdeclaration-after-statement>)
if(QL_SANITIZE)
  target_compile_options(ql_options INTERFACE
    -fsanitize=${QL_SANITIZE} -fno-omit-frame-pointer
    -fno-sanitize-recover=all)
  target_link_options(ql_options INTERFACE -fsanitize=${QL_SANITIZE})
endif()

# ql_package(NAME SOURCES... DEPENDS...): a static library for one package.
function(ql_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC ql_options ${ARG_DEPENDS})
endfunction()
if(QL_FUZZ)
  target_compile_options(ql_options INTERFACE -fsanitize=fuzzer-no-link)
  target_link_options(ql_options INTERFACE -fsanitize=fuzzer-no-link)
endif()
