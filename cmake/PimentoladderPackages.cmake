# Finds the third-party libraries and declares targets for those that lack one.

find_package(PkgConfig REQUIRED)
find_package(absl REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(tl-expected REQUIRED)
find_package(yaml-cpp REQUIRED)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# easylogging++ is distributed as a source file; it is compiled once here, without
# warnings.
find_path(EASYLOGGING_SOURCE_DIR easylogging++.cc REQUIRED)
add_library(easylogging STATIC "${EASYLOGGING_SOURCE_DIR}/easylogging++.cc")
target_compile_definitions(easylogging PUBLIC
  ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING ELPP_NO_LOG_TO_FILE)
target_compile_options(easylogging PRIVATE -w)

if(PIMENTOLADDER_TESTS)
  find_package(benchmark REQUIRED)
  find_package(doctest REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
  add_library(pimentoladder_test_libraries INTERFACE)
  target_link_libraries(pimentoladder_test_libraries INTERFACE doctest::doctest "${RAPIDCHECK_LIBRARY}")
endif()
