# Bash completion of hawthorndrumctl. Source it, or put it into bash's completion folder.
_hawthorndrumctl() {
  local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD - 1]}" words=""
  case "$previous" in
    --output)
      COMPREPLY=($(compgen -W "table json" -- "$current"))
      return
      ;;
    --token-file | --authority)
      COMPREPLY=($(compgen -f -- "$current"))
      return
      ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "check publish config status upstreams drain orders roles claims leases peers poison why help" -- "$current"))
    return
  fi
  case "${COMP_WORDS[1]}" in
    check) words="--output --help" ;;
    publish) words="--store --author --note --base --publish-id --floor --patience --dry-run --wait --wait-time --remove --admin --token-file --authority --timeout --output --help" ;;
    config) words="history show diff rollback prune --keep --store --author --note --base --publish-id --floor --patience --dry-run --wait --wait-time --count --admin --token-file --authority --timeout --output --help" ;;
    status) words="--admin --token-file --authority --timeout --output --help" ;;
    upstreams) words="--admin --token-file --authority --timeout --output --help" ;;
    drain) words="start stop --admin --token-file --authority --timeout --output --help" ;;
    orders) words="set-role release --admin --token-file --authority --timeout --output --help" ;;
    roles) words="--admin --token-file --authority --timeout --output --help" ;;
    claims) words="load settle --admin --token-file --authority --timeout --output --help" ;;
    leases) words="give-back --admin --token-file --authority --timeout --output --help" ;;
    peers) words="--admin --token-file --authority --timeout --output --help" ;;
    poison) words="clear --admin --token-file --authority --timeout --output --help" ;;
    why) words="--log --admin --token-file --authority --timeout --output --help" ;;
  esac
  case "$current" in
    -*) COMPREPLY=($(compgen -W "$words" -- "$current")) ;;
    *) COMPREPLY=($(compgen -W "$words" -- "$current") $(compgen -f -- "$current")) ;;
  esac
}
complete -F _hawthorndrumctl hawthorndrumctl
